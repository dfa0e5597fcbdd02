package server

import (
	"context"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/claim"
	"lacewingwheel.example/lacewingwheel/pkg/peer"
)

// maxParallelNotices is the number of peers that a notice is sent to at a time.
const maxParallelNotices = 16

// replicatePoison sends crashes of targets and quarantined requests to all peers
// and records those that peers send.
func (p *peerNetwork) replicatePoison(poison *claim.PoisonDetector) {
	poison.OnCrash = func(crash claim.Crash) {
		body := peer.PoisonCrashBody{Digest: crash.Request[:], Target: crash.Target, Incarnation: crash.Incarnation}
		go broadcast(p, peer.PoisonCrash, body)
	}
	poison.OnQuarantine = func(request claim.Digest, expiry time.Time) {
		go broadcast(p, peer.PoisonNotice, peer.PoisonNoticeBody{Digest: request[:], ExpiresAt: expiry})
	}
	peer.PoisonCrash.Handle(p.registry, func(_ context.Context, body peer.PoisonCrashBody) (peer.EmptyBody, error) {
		digest, err := parseRequestDigest(body.Digest)
		if err == nil {
			poison.RecordPeerCrash(claim.Crash{Request: digest, Target: body.Target, Incarnation: body.Incarnation}, time.Now())
		}
		return peer.EmptyBody{}, err
	})
	peer.PoisonNotice.Handle(p.registry, func(_ context.Context, body peer.PoisonNoticeBody) (peer.EmptyBody, error) {
		digest, err := parseRequestDigest(body.Digest)
		if err == nil {
			poison.AddQuarantine(digest, body.ExpiresAt)
		}
		return peer.EmptyBody{}, err
	})
}

// parseRequestDigest checks the length of a digest from a peer.
func parseRequestDigest(raw []byte) (claim.Digest, error) {
	var digest claim.Digest
	if len(raw) != len(digest) {
		return digest, &peer.Error{Kind: peer.KindMalformed, Message: "a request digest has the wrong length"}
	}
	copy(digest[:], raw)
	return digest, nil
}

// broadcast sends a message to all peers at once, which costs little because
// crashes are rare. It is not retried: a peer that does not answer misses it.
func broadcast[Body any](p *peerNetwork, message *peer.Message[Body, peer.EmptyBody], body Body) {
	slots := make(chan struct{}, maxParallelNotices)
	for _, other := range p.tracker.PeerSet().Peers {
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			_, _ = message.Call(context.Background(), p.transport, other.Address, body)
		}()
	}
}
