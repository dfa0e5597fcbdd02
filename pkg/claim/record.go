package claim

import (
	"encoding/json"
	"net/http"
	"time"
)

// State is the state of a claim.
type State string

// States of a claim.
const (
	StateClaimed State = "claimed" // the request may be running
	StateDone    State = "done"    // the request ran and was answered
	StateUnknown State = "unknown" // the request may have run
)

// MaxResponseBytes bounds the headers and body of a stored response, in bytes
// together. Claims are kept for a day, so larger responses would fill the object
// store.
const MaxResponseBytes = 16 << 10

// Response is the first response to a request, kept for its duplicates.
type Response struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

func (r *Response) size() int {
	n := len(r.Body)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value)
		}
	}
	return n
}

// record is the value of a claim object.
type record struct {
	Nonce       string    `json:"nonce"` // distinguishes the creator's own write from others
	Instance    string    `json:"instance"`
	Incarnation string    `json:"incarnation"`
	Request     string    `json:"request"` // digest of the request
	State       State     `json:"state"`
	Created     time.Time `json:"created"`
	RunsUntil   time.Time `json:"runs_until"` // after this time the request no longer runs
	Expires     time.Time `json:"expires"`
	Response    *Response `json:"response,omitempty"`
}

// encode panics only on a programming error: all fields can be encoded as JSON.
func (r *record) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic("claim: " + err.Error())
	}
	return value
}

func decodeRecord(value []byte) (*record, error) {
	r := &record{}
	if err := json.Unmarshal(value, r); err != nil {
		return nil, err
	}
	return r, nil
}
