package control

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

// Names of the accepted configuration in the object store.
const (
	KindConfiguration        = "configuration"
	NameAccepted             = "accepted"
	KindConfigurationHistory = "configuration-history"
)

// AcceptedConfiguration is the configuration that operators have put in force. Both tables
// are in one object, so that an edit of both is atomic.
type AcceptedConfiguration struct {
	Generation uint64    `json:"generation"`
	Editor     string    `json:"editor"`
	Nonce      string    `json:"nonce"` // recognises an own write whose answer was lost
	Time       time.Time `json:"time"`
	Routes     string    `json:"routes"`
	Pools      string    `json:"pools"`
}

// DecodeAcceptedConfiguration reads an accepted configuration.
func DecodeAcceptedConfiguration(value []byte) (*AcceptedConfiguration, error) {
	var a AcceptedConfiguration
	if err := json.Unmarshal(value, &a); err != nil {
		return nil, eris.Wrap(err, "accepted configuration")
	}
	if a.Generation == 0 {
		return nil, fmt.Errorf("accepted configuration: generation is missing")
	}
	return &a, nil
}

// Encode is the inverse of DecodeAccepted.
func (a *AcceptedConfiguration) Encode() ([]byte, error) { return json.Marshal(a) }

// Source returns the tables' text.
func (a *AcceptedConfiguration) Source() tables.Source {
	return tables.Source{Routes: []byte(a.Routes), Pools: []byte(a.Pools)}
}
