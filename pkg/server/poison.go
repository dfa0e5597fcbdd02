package server

import (
	"context"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/claim"
	"lacewingwheel.example/lacewingwheel/pkg/peer"
)

// noticeParallel bounds the notices that are sent at a time.
const noticeParallel = 16

// sharePoison passes crashes and quarantined requests on to all peers, and
// takes over theirs.
func (p *peers) sharePoison(poison *claim.PoisonDetector) {
	poison.OnCrash = func(crash claim.Crash) {
		body := peer.PoisonCrashBody{Digest: crash.Request[:], Target: crash.Target, Incarnation: crash.Incarnation}
		go broadcast(p, peer.PoisonCrash, body)
	}
	poison.OnQuarantine = func(request claim.Digest, expiry time.Time) {
		go broadcast(p, peer.PoisonNotice, peer.PoisonNoticeBody{Digest: request[:], ExpiresAt: expiry})
	}
	peer.PoisonCrash.Handle(p.registry, func(_ context.Context, body peer.PoisonCrashBody) (peer.EmptyBody, error) {
		digest, err := poisonDigest(body.Digest)
		if err == nil {
			poison.RecordPeerCrash(claim.Crash{Request: digest, Target: body.Target, Incarnation: body.Incarnation}, time.Now())
		}
		return peer.EmptyBody{}, err
	})
	peer.PoisonNotice.Handle(p.registry, func(_ context.Context, body peer.PoisonNoticeBody) (peer.EmptyBody, error) {
		digest, err := poisonDigest(body.Digest)
		if err == nil {
			poison.AddQuarantine(digest, body.ExpiresAt)
		}
		return peer.EmptyBody{}, err
	})
}

func poisonDigest(raw []byte) (claim.Digest, error) {
	var digest claim.Digest
	if len(raw) != len(digest) {
		return digest, &peer.Error{Kind: peer.KindMalformed, Message: "a request digest has the wrong length"}
	}
	copy(digest[:], raw)
	return digest, nil
}

// broadcast sends a message to all peers. Crashes are rare, so that reaching
// everybody at once costs little; a peer that does not answer misses it.
func broadcast[Body any](p *peers, message *peer.Message[Body, peer.EmptyBody], body Body) {
	slots := make(chan struct{}, noticeParallel)
	for _, other := range p.instances.PeerSet().Peers {
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			_, _ = message.Call(context.Background(), p.transport, other.Address, body)
		}()
	}
}
