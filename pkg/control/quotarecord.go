package control

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// KindQuotaShare is the kind of the objects that say who holds a quota share.
// The name of each object is the number of the share.
const KindQuotaShare = "quota-share"

// QuotaShareRecord says who holds a quota share.
type QuotaShareRecord struct {
	ShareCount    int           `json:"shares"` // into how many the limits are divided
	Holder        string        `json:"holder"` // instance id; empty after a hand-back
	Incarnation   string        `json:"incarnation"`
	Address       string        `json:"address"`  // where the holder answers other instances
	Fence         uint64        `json:"fence"`    // rises with each new holder
	LeaseDuration time.Duration `json:"lease_ns"` // length of the lease
	// HeldFrom is the holder's boot-time clock from before it sent the record.
	// It means nothing to any other process.
	HeldFrom time.Duration `json:"held_from_ns"`
	// StoppedInstance is the instance that handed the share back because it stops.
	StoppedInstance string `json:"stopped,omitempty"`
	// Tokens are those with which the holder starts, per organisation: what the
	// last one handed back, or the whole burst of a share that was never held.
	Tokens map[string]float64 `json:"tokens,omitempty"`
}

// DecodeQuotaShareRecord reads a share record.
func DecodeQuotaShareRecord(value []byte) (*QuotaShareRecord, error) {
	var r QuotaShareRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, eris.Wrap(err, "quota share")
	}
	if r.LeaseDuration <= 0 || r.ShareCount <= 0 {
		return nil, fmt.Errorf("quota share: lease or number of shares is missing")
	}
	return &r, nil
}

// Encode is the inverse of DecodeShareRecord.
func (r *QuotaShareRecord) Encode() ([]byte, error) { return json.Marshal(r) }
