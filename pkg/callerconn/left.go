package callerconn

import "time"

// leaveCheckInterval is the time between checks whether callers have closed the connections of
// requests that run.
const leaveCheckInterval = time.Second

// startChecks makes endLeft run as long as requests run. The caller holds l.mu.
func (l *Limiter) startChecks() {
	if !l.checking {
		l.checking = true
		time.AfterFunc(leaveCheckInterval, l.endLeft)
	}
}

// endLeft ends the requests whose callers have closed their connections. Bytes behind a request hide
// that from the server, which reads only the first of them while the request runs.
func (l *Limiter) endLeft() {
	now := time.Now()
	var running []*Conn
	l.mu.Lock()
	l.checking = false
	for c := range l.conns {
		if c.running == 0 {
			continue
		}
		l.startChecks()
		if now.Sub(c.since) >= leaveCheckInterval {
			running = append(running, c)
		}
	}
	l.mu.Unlock()
	for _, c := range running {
		if hasLeft(c.Conn) {
			c.endRequests()
		}
	}
}
