package peer

import "time"

// Timeouts of exchanges. Peers answer in milliseconds; a second more than that
// covers a handshake and lost packets.
const (
	shortTimeout = 1500 * time.Millisecond
	bulkTimeout  = 3 * time.Second // responses of up to 2 MB
)

// HelloBody says who an instance is and which configuration it has in force.
// Request and response have the same body.
type HelloBody struct {
	ID          string `cbor:"id"`
	Address     string `cbor:"address"`
	Zone        string `cbor:"zone"`
	Incarnation string `cbor:"incarnation"`
	Generation  uint64 `cbor:"generation"`
	// Peers are addresses of a few other instances that answered lately, for
	// instances that the lagging instance list does not show yet.
	Peers []string `cbor:"peers,omitempty"`
}

// MaxHelloPeers bounds the addresses in HelloBody.Peers.
const MaxHelloPeers = 6

// Hello tells a peer that the sender is alive and asks the same of it.
var Hello = &Message[HelloBody, HelloBody]{Request: "hello", Response: "hello.answer", Timeout: shortTimeout}

// ConfigOfferBody offers the configuration that the sender has in force.
type ConfigOfferBody struct {
	Address    string `cbor:"address"` // where it can be fetched
	Generation uint64 `cbor:"generation"`
}

// ConfigOfferAnswer is the generation that the receiver has in force.
type ConfigOfferAnswer struct {
	Generation uint64 `cbor:"generation"`
}

// ConfigOffer offers a generation; a receiver with a lower one fetches it.
var ConfigOffer = &Message[ConfigOfferBody, ConfigOfferAnswer]{Request: "config.offer", Response: "config.offer.answer", Timeout: shortTimeout}

// ConfigFetchBody asks for a configuration of at least a generation.
type ConfigFetchBody struct {
	Generation uint64 `cbor:"generation"`
}

// ConfigFetchAnswer is an accepted configuration.
type ConfigFetchAnswer struct {
	Generation uint64 `cbor:"generation"`
	Accepted   []byte `cbor:"accepted"` // JSON as on the platform, compressed with DEFLATE
}

// ConfigFetch returns the accepted configuration in force, or KindNotFound if
// its generation is lower than asked for.
var ConfigFetch = &Message[ConfigFetchBody, ConfigFetchAnswer]{Request: "config.fetch", Response: "config.fetch.answer", Timeout: bulkTimeout}

// InstancesFetchBody says which instance list the sender knows.
type InstancesFetchBody struct {
	HasList   bool   `cbor:"known"`
	Digest    uint64 `cbor:"digest"`
	AgeMillis int64  `cbor:"age_ms"` // since the platform gave it
}

// InstancesFetchAnswer is the instance list that a peer knows. Rows are left
// out if they are not newer than the sender's or are the same.
type InstancesFetchAnswer struct {
	HasList   bool   `cbor:"known"`
	Digest    uint64 `cbor:"digest"`
	AgeMillis int64  `cbor:"age_ms"`
	Rows      []byte `cbor:"rows,omitempty"` // JSON as on the platform, compressed with DEFLATE
}

// InstancesFetch returns the rows of the platform's instance list that a peer
// knows, for instances that the platform does not answer.
var InstancesFetch = &Message[InstancesFetchBody, InstancesFetchAnswer]{Request: "instances.fetch", Response: "instances.fetch.answer", Timeout: bulkTimeout}

// PoisonNoticeBody quarantines the digest of a request that crashes targets.
type PoisonNoticeBody struct {
	Digest    []byte    `cbor:"digest"`
	ExpiresAt time.Time `cbor:"expires_at"`
}

// EmptyBody is the body of a response that says nothing.
type EmptyBody struct{}

// PoisonNotice tells a peer to quarantine a digest.
var PoisonNotice = &Message[PoisonNoticeBody, EmptyBody]{Request: "poison.notice", Response: "poison.notice.answer", Timeout: shortTimeout}

// PoisonCrashBody tells of a target that crashed while it ran a request.
type PoisonCrashBody struct {
	Digest      []byte `cbor:"digest"`
	Target      string `cbor:"target"`
	Incarnation string `cbor:"incarnation"`
}

// PoisonCrash tells a peer of a crash, so that crashes seen by different
// instances add up.
var PoisonCrash = &Message[PoisonCrashBody, EmptyBody]{Request: "poison.crash", Response: "poison.crash.answer", Timeout: shortTimeout}
