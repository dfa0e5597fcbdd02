package daemon_test

import (
	"net"
	"os"
	"strconv"
	"sync"
	"testing"
)

// A daemon listens on its ports up to a second after they were drawn. So that no
// other socket gets one of them meanwhile, test ports lie below the ephemeral ports
// that the kernel hands out (32,768 and up), each process draws from a block of its
// own, and a block is drawn in turn.
const (
	firstTestPort  = 10_000
	testPortBlocks = 100
	portsPerBlock  = 100
	testIP         = "127.0.0.1"
)

var portsDrawn struct {
	sync.Mutex
	count int
}

// drawAddress returns the next loopback address of the block whose port is free
// according to canListen.
func drawAddress(t *testing.T, canListen func(address string) bool) string {
	t.Helper()
	portsDrawn.Lock()
	defer portsDrawn.Unlock()
	block := firstTestPort + os.Getpid()%testPortBlocks*portsPerBlock
	for range portsPerBlock {
		address := net.JoinHostPort(testIP, strconv.Itoa(block+portsDrawn.count%portsPerBlock))
		portsDrawn.count++
		if canListen(address) {
			return address
		}
	}
	t.Fatalf("none of the ports %d to %d is free", block, block+portsPerBlock-1)
	return ""
}

// freePort returns an address for a TCP listener.
func freePort(t *testing.T) string {
	t.Helper()
	return drawAddress(t, func(address string) bool {
		l, err := net.Listen("tcp4", address)
		return err == nil && l.Close() == nil
	})
}

// freePacketPort returns an address for a UDP socket.
func freePacketPort(t *testing.T) string {
	t.Helper()
	return drawAddress(t, func(address string) bool {
		c, err := net.ListenPacket("udp4", address)
		return err == nil && c.Close() == nil
	})
}
