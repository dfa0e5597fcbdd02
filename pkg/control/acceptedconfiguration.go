package control

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

// Object kinds and the name under which configurations are stored.
const (
	KindConfiguration        = "configuration"
	NameAccepted             = "accepted"              // name of the only object of KindConfiguration
	KindConfigurationHistory = "configuration-history" // recent generations, one object each
)

// AcceptedConfiguration is the stored configuration that operators have put in
// force. Both tables are in one object, so that a change of both is atomic.
type AcceptedConfiguration struct {
	Generation uint64    `json:"generation"`
	Editor     string    `json:"editor"`
	Nonce      string    `json:"nonce"` // identifies the writer's own write when its response was lost
	Time       time.Time `json:"time"`
	Routes     string    `json:"routes"` // text of the routes table
	Pools      string    `json:"pools"`  // text of the pools table
}

// DecodeAcceptedConfiguration decodes a stored configuration. It returns an
// error if value is not valid JSON or has no generation.
func DecodeAcceptedConfiguration(value []byte) (*AcceptedConfiguration, error) {
	var a AcceptedConfiguration
	if err := json.Unmarshal(value, &a); err != nil {
		return nil, eris.Wrap(err, "decode accepted configuration")
	}
	if a.Generation == 0 {
		return nil, fmt.Errorf("accepted configuration: generation is missing")
	}
	return &a, nil
}

// Encode returns the JSON form that DecodeAcceptedConfiguration reads.
func (a *AcceptedConfiguration) Encode() ([]byte, error) { return json.Marshal(a) }

// Source returns the text of both tables.
func (a *AcceptedConfiguration) Source() tables.Source {
	return tables.Source{Routes: []byte(a.Routes), Pools: []byte(a.Pools)}
}
