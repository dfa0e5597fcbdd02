package peer

// MaxTargetRecords bounds the records of one TargetsUpdate.
const MaxTargetRecords = 64

// TargetRecord holds the slowly changing state of one target. Of two records the
// one with the higher version is newer.
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
	AgeMillis     int64  `cbor:"age_ms"` // since a read of the target last confirmed the record
}

// TargetsUpdateBody carries records that the sender has just learned.
type TargetsUpdateBody struct {
	Records []TargetRecord `cbor:"records"`
}

// TargetsUpdateResponse holds the records of the receiver that are newer than the
// ones sent.
type TargetsUpdateResponse struct {
	NewerRecords []TargetRecord `cbor:"newer,omitempty"`
}

// TargetsUpdate sends changed target records to a peer.
var TargetsUpdate = &Message[TargetsUpdateBody, TargetsUpdateResponse]{Request: "targets.update", Response: "targets.update.answer", Timeout: shortTimeout}

// TargetsConfirmBody summarises a target table, for comparison with that of a peer.
// Request and response have the same body.
type TargetsConfirmBody struct {
	Digest uint64 `cbor:"digest"`
	// IsSettled reports that the table has not changed for a while, so that an update
	// in transit does not explain a different digest.
	IsSettled bool `cbor:"settled"`
	// Ages has one byte per record, in the order of the IDs: the age of its last
	// confirmation, in units of 50 ms. 255 stands for longer or unknown ages. Ages is
	// meaningful only if the digests are equal.
	Ages []byte `cbor:"ages"`
}

// TargetsConfirm exchanges the digests of the tables and the ages of the
// records' confirmations.
var TargetsConfirm = &Message[TargetsConfirmBody, TargetsConfirmBody]{Request: "targets.confirm", Response: "targets.confirm.answer", Timeout: shortTimeout}

// TargetsFetchResponse holds the complete target table of a peer.
type TargetsFetchResponse struct {
	Records []TargetRecord `cbor:"records"`
}

// TargetsFetch returns the complete target table of a peer.
var TargetsFetch = &Message[EmptyBody, TargetsFetchResponse]{Request: "targets.fetch", Response: "targets.fetch.answer", Timeout: bulkTimeout}
