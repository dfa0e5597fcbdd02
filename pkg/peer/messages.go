package peer

import "time"

// Timeouts of exchanges. Peers answer within milliseconds; another second covers a
// handshake and lost packets.
const (
	shortTimeout = 1500 * time.Millisecond
	bulkTimeout  = 3 * time.Second // responses of up to 2 MB
)

// HelloBody identifies an instance and the generation of the configuration that it
// has in force. Request and response have the same body.
type HelloBody struct {
	ID          string `cbor:"id"`
	Address     string `cbor:"address"`
	Zone        string `cbor:"zone"`
	Incarnation string `cbor:"incarnation"`
	Generation  uint64 `cbor:"generation"`
	// Peers has addresses of up to MaxHelloPeers other instances that answered
	// recently. They let the receiver find instances that its stale instance list
	// does not contain yet.
	Peers []string `cbor:"peers,omitempty"`
}

// MaxHelloPeers bounds the addresses in HelloBody.Peers.
const MaxHelloPeers = 6

// Hello is the heartbeat between instances.
var Hello = &Message[HelloBody, HelloBody]{Request: "hello", Response: "hello.answer", Timeout: shortTimeout}

// ConfigOfferBody offers the configuration that the sender has in force.
type ConfigOfferBody struct {
	Address    string `cbor:"address"` // of the instance from which it can be fetched
	Generation uint64 `cbor:"generation"`
}

// ConfigOfferResponse holds the generation that the receiver has in force.
type ConfigOfferResponse struct {
	Generation uint64 `cbor:"generation"`
}

// ConfigOffer offers a generation; a receiver with a lower one fetches it.
var ConfigOffer = &Message[ConfigOfferBody, ConfigOfferResponse]{Request: "config.offer", Response: "config.offer.answer", Timeout: shortTimeout}

// ConfigFetchBody requests a configuration of at least Generation.
type ConfigFetchBody struct {
	Generation uint64 `cbor:"generation"`
}

// ConfigFetchResponse holds an accepted configuration.
type ConfigFetchResponse struct {
	Generation     uint64 `cbor:"generation"`
	AcceptedConfig []byte `cbor:"accepted"` // JSON as on the platform, compressed with DEFLATE
}

// ConfigFetch returns the accepted configuration that the peer has in force. It
// returns an error of KindNotFound if its generation is lower than requested.
var ConfigFetch = &Message[ConfigFetchBody, ConfigFetchResponse]{Request: "config.fetch", Response: "config.fetch.answer", Timeout: bulkTimeout}

// InstancesFetchBody identifies the instance list that the sender has.
type InstancesFetchBody struct {
	HasList   bool   `cbor:"known"`
	Digest    uint64 `cbor:"digest"`
	AgeMillis int64  `cbor:"age_ms"` // since it was read from the platform
}

// InstancesFetchResponse holds the instance list that a peer has. Rows is empty if
// the list is the same as the sender's or not newer.
type InstancesFetchResponse struct {
	HasList   bool   `cbor:"known"`
	Digest    uint64 `cbor:"digest"`
	AgeMillis int64  `cbor:"age_ms"`
	Rows      []byte `cbor:"rows,omitempty"` // JSON as on the platform, compressed with DEFLATE
}

// InstancesFetch returns the platform's instance list as a peer has it, for
// instances that cannot reach the platform.
var InstancesFetch = &Message[InstancesFetchBody, InstancesFetchResponse]{Request: "instances.fetch", Response: "instances.fetch.answer", Timeout: bulkTimeout}

// PoisonNoticeBody holds the digest of a request that crashes targets and the end
// of its quarantine.
type PoisonNoticeBody struct {
	Digest    []byte    `cbor:"digest"`
	ExpiresAt time.Time `cbor:"expires_at"`
}

// EmptyBody is the body of requests and responses without content.
type EmptyBody struct{}

// PoisonNotice asks a peer to quarantine the requests with a digest.
var PoisonNotice = &Message[PoisonNoticeBody, EmptyBody]{Request: "poison.notice", Response: "poison.notice.answer", Timeout: shortTimeout}

// PoisonCrashBody identifies a target that crashed and the request that it ran.
type PoisonCrashBody struct {
	Digest      []byte `cbor:"digest"`
	Target      string `cbor:"target"`
	Incarnation string `cbor:"incarnation"`
}

// PoisonCrash reports a crash to a peer, so that crashes that different instances
// have observed are counted together.
var PoisonCrash = &Message[PoisonCrashBody, EmptyBody]{Request: "poison.crash", Response: "poison.crash.answer", Timeout: shortTimeout}
