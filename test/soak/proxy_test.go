package soak

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// mode is what a proxy does with bytes.
type mode int

const (
	pass     mode = iota
	delayed       // bytes wait
	resets        // connections are reset, new ones too
	silenced      // bytes are swallowed both ways, connections stay open
	oneWay        // answers are swallowed
)

var modeNames = map[mode]string{pass: "pass", delayed: "delayed", resets: "reset", silenced: "silenced", oneWay: "one way"}

const (
	delay     = 150 * time.Millisecond
	chunkSize = 16 << 10
)

// proxy is a TCP proxy on loopback that misbehaves on demand.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
}

func startProxy(t *testing.T, target string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]bool)}
	t.Cleanup(func() { _ = l.Close(); p.closeAll() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the mode. Connections that were silenced stay broken: the bytes
// they swallowed are gone.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	before := p.mode
	p.mode = m
	p.mu.Unlock()
	if m == resets || before == silenced || before == oneWay {
		p.closeAll()
	}
}

func (p *proxy) current() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) serve(in net.Conn) {
	if p.current() == resets {
		reset(in)
		return
	}
	out, err := net.Dial("tcp4", p.target)
	if err != nil {
		reset(in)
		return
	}
	p.mu.Lock()
	p.conns[in], p.conns[out] = true, true
	p.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { p.copy(out, in, false) })
	group.Go(func() { p.copy(in, out, true) })
	group.Wait()
	p.mu.Lock()
	delete(p.conns, in)
	delete(p.conns, out)
	p.mu.Unlock()
}

func (p *proxy) copy(to, from net.Conn, answers bool) {
	buffer := make([]byte, chunkSize)
	for {
		n, err := from.Read(buffer)
		switch m := p.current(); {
		case m == silenced || m == oneWay && answers:
			n = 0
		case m == delayed:
			time.Sleep(delay)
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				_ = to.Close()
			} else {
				reset(to)
			}
			return
		}
	}
}
