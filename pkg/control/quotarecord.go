package control

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// KindQuotaShare is the kind of the objects that hold a QuotaShareRecord. The
// name of an object is the number of its share.
const KindQuotaShare = "quota-share"

// QuotaShareRecord states which instance holds a quota share, and for how long.
type QuotaShareRecord struct {
	ShareCount    int           `json:"shares"` // number of shares that the limits are divided into
	Holder        string        `json:"holder"` // instance ID; empty after a hand-back
	Incarnation   string        `json:"incarnation"`
	Address       string        `json:"address"` // holder's listen address for peers
	Fence         uint64        `json:"fence"`   // fencing token; rises with each new holder
	LeaseDuration time.Duration `json:"lease_ns"`
	// HeldFrom is the holder's boot-time clock from before it sent the record.
	// It has no meaning on other instances.
	HeldFrom time.Duration `json:"held_from_ns"`
	// StoppedInstance is the ID of the instance that handed the share back
	// because it stops.
	StoppedInstance string `json:"stopped,omitempty"`
	// Tokens are the tokens with which the holder starts, by organisation:
	// those that the previous holder handed back, or the whole burst of a share
	// that was never held.
	Tokens map[string]float64 `json:"tokens,omitempty"`
}

// DecodeQuotaShareRecord decodes a stored record. It returns an error if value
// is not valid JSON, or if the lease or the number of shares is missing.
func DecodeQuotaShareRecord(value []byte) (*QuotaShareRecord, error) {
	var r QuotaShareRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, eris.Wrap(err, "decode quota share record")
	}
	if r.LeaseDuration <= 0 || r.ShareCount <= 0 {
		return nil, fmt.Errorf("quota share record: lease or number of shares is missing")
	}
	return &r, nil
}

// Encode returns the JSON form that DecodeQuotaShareRecord reads.
func (r *QuotaShareRecord) Encode() ([]byte, error) { return json.Marshal(r) }
