package soak

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// proxyMode is the fault that a proxy injects.
type proxyMode int

const (
	modePass          proxyMode = iota
	modeDelay                   // each read is forwarded after delayPerRead
	modeReset                   // open and new connections are reset
	modeDropAll                 // data is discarded in both directions, connections stay open
	modeDropResponses           // data from the target is discarded
)

var modeNames = map[proxyMode]string{modePass: "pass", modeDelay: "delayed", modeReset: "reset", modeDropAll: "all data dropped", modeDropResponses: "responses dropped"}

const (
	delayPerRead   = 150 * time.Millisecond
	copyBufferSize = 16 << 10
)

// proxy is a TCP proxy on loopback that injects network faults.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  proxyMode
	conns map[net.Conn]bool
}

// startProxy starts a proxy to target, an address. It ends with the test.
func startProxy(t *testing.T, target string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]bool)}
	t.Cleanup(func() { _ = l.Close(); p.resetAll() })
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

// setMode changes the mode. It resets the open connections when modeReset begins,
// and when a mode that discards data ends, because their streams have a gap.
func (p *proxy) setMode(m proxyMode) {
	p.mu.Lock()
	before := p.mode
	p.mode = m
	p.mu.Unlock()
	if m == modeReset || before == modeDropAll || before == modeDropResponses {
		p.resetAll()
	}
}

func (p *proxy) currentMode() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		resetConn(c)
	}
}

// resetConn closes a connection with a TCP reset instead of a FIN.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// serve copies data between a client connection and a new connection to the target
// until both directions end.
func (p *proxy) serve(in net.Conn) {
	if p.currentMode() == modeReset {
		resetConn(in)
		return
	}
	out, err := net.Dial("tcp4", p.target)
	if err != nil {
		resetConn(in)
		return
	}
	p.mu.Lock()
	p.conns[in], p.conns[out] = true, true
	p.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { p.copyBytes(out, in, false) })
	group.Go(func() { p.copyBytes(in, out, true) })
	group.Wait()
	p.mu.Lock()
	delete(p.conns, in)
	delete(p.conns, out)
	p.mu.Unlock()
}

// copyBytes forwards data in one direction until the connection ends.
func (p *proxy) copyBytes(to, from net.Conn, isResponse bool) {
	buffer := make([]byte, copyBufferSize)
	for {
		n, err := from.Read(buffer)
		switch m := p.currentMode(); {
		case m == modeDropAll || m == modeDropResponses && isResponse:
			n = 0
		case m == modeDelay:
			time.Sleep(delayPerRead)
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				resetConn(from)
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				_ = to.Close()
			} else {
				resetConn(to)
			}
			return
		}
	}
}
