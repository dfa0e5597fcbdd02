package peer

// MaxTargetRecords bounds the records of one TargetsUpdate.
const MaxTargetRecords = 64

// TargetRecord is the state of one target that changes seldom. Of two records
// the one with the higher version is newer.
type TargetRecord struct {
	ID            string `cbor:"id"`
	Version       uint64 `cbor:"v"`
	Reachable     bool   `cbor:"up,omitempty"`
	Leaving       bool   `cbor:"leaving,omitempty"`
	CanResume     bool   `cbor:"resume,omitempty"`
	Incarnation   string `cbor:"inc,omitempty"`
	Model         string `cbor:"model,omitempty"`
	WeightVersion string `cbor:"weights,omitempty"`
	Adapter       string `cbor:"adapter,omitempty"`
	AgeMillis     int64  `cbor:"age_ms"` // since a read last confirmed it
}

// TargetsUpdateBody passes on records that were new to the sender.
type TargetsUpdateBody struct {
	Records []TargetRecord `cbor:"records"`
}

// TargetsUpdateAnswer returns those records of the receiver that are newer than
// the ones sent.
type TargetsUpdateAnswer struct {
	NewerRecords []TargetRecord `cbor:"newer,omitempty"`
}

// TargetsUpdate passes changed states of targets on.
var TargetsUpdate = &Message[TargetsUpdateBody, TargetsUpdateAnswer]{Request: "targets.update", Response: "targets.update.answer", Timeout: shortTimeout}

// TargetsConfirmBody compares tables. Request and response have the same body.
type TargetsConfirmBody struct {
	Digest uint64 `cbor:"digest"`
	// Settled says that the table has not changed for a while, so that another
	// digest is not due to an update that is still on its way.
	Settled bool `cbor:"settled"`
	// Ages has one byte for each record in the order of the ids: the age of its
	// last confirmation. It means something only with the same digest.
	Ages []byte `cbor:"ages"`
}

// TargetsConfirm exchanges the digests of the tables and the ages of the
// records' confirmations.
var TargetsConfirm = &Message[TargetsConfirmBody, TargetsConfirmBody]{Request: "targets.confirm", Response: "targets.confirm.answer", Timeout: shortTimeout}

// TargetsFetchAnswer is the whole table of a peer.
type TargetsFetchAnswer struct {
	Records []TargetRecord `cbor:"records"`
}

// TargetsFetch returns the whole table of a peer.
var TargetsFetch = &Message[EmptyBody, TargetsFetchAnswer]{Request: "targets.fetch", Response: "targets.fetch.answer", Timeout: bulkTimeout}
