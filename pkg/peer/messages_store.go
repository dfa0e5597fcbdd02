package peer

import "time"

// storeChangesTimeout bounds an exchange of StoreChanges. It includes the time for
// which the peer holds the response to wait for a change, and the handshakes of all
// instances that start at the same time.
const storeChangesTimeout = 3 * time.Second

// StoreChangesBody requests the changes of the store since a position.
type StoreChangesBody struct {
	// AfterRevisions has, by kind, the revision that the sender has reached; zero
	// if it has no list yet.
	AfterRevisions map[string]uint64 `cbor:"after"`
	// WaitMillis is how long the peer may hold the response to wait for a change.
	WaitMillis int64 `cbor:"wait_ms"`
	// CachePositions has the position that the sender has reached in each store of
	// cached parts, by address.
	CachePositions map[string]CachePosition `cbor:"caches,omitempty"`
	// FromRelay is set if the sender passes the changes on to others. The peer must
	// then read the store itself.
	FromRelay bool `cbor:"relay,omitempty"`
}

// CachePosition is a position in the event stream of a store of cached parts.
type CachePosition struct {
	_     struct{} `cbor:",toarray"`
	Epoch int64
	Next  int64
}

// StoreChangesResponse holds the changes of the store that an instance has read.
// Ages are as of the time of the response.
type StoreChangesResponse struct {
	// Kinds has the changes by kind of object.
	Kinds map[string]ObjectChanges `cbor:"kinds"`
	// ConfigurationRevision is the revision of the configuration that was proven
	// to be the newest ConfigurationAgeMillis ago; zero without proof.
	ConfigurationRevision  uint64 `cbor:"configuration_revision"`
	ConfigurationAgeMillis int64  `cbor:"configuration_age_ms"`
	// ConfigurationGeneration is its generation, which orders configurations across
	// restores of the store.
	ConfigurationGeneration uint64 `cbor:"configuration_generation,omitempty"`
	// StoreUnreachable reports that the instance does not reach the store now.
	StoreUnreachable bool `cbor:"store_lost"`
	// StoreWasUnreachable reports that the instance has seen an outage of the store end
	// since its start. StoreRecoveredMillis is the time since then.
	StoreWasUnreachable  bool  `cbor:"store_away"`
	StoreRecoveredMillis int64 `cbor:"store_back_ms"`
	// Caches has the changes of stores of cached parts, by address.
	Caches map[string]CacheChanges `cbor:"caches,omitempty"`
}

// CacheChanges holds the changes of a store of cached parts.
type CacheChanges struct {
	Position  CachePosition `cbor:"position"`
	AgeMillis int64         `cbor:"age_ms"` // since the last response of the store
	Rows      []CacheRow    `cbor:"rows,omitempty"`
}

// CacheRow is a cached part that was added or, unless Added, evicted.
type CacheRow struct {
	_     struct{} `cbor:",toarray"`
	Salt  string
	Part  string
	Added bool
}

// ObjectChanges holds the changes of the objects of one kind.
type ObjectChanges struct {
	IsFullList bool        `cbor:"whole"` // Rows has all existing objects instead of changes
	Rows       []ChangeRow `cbor:"rows"`
	Revision   uint64      `cbor:"revision"`
	AgeMillis  int64       `cbor:"age_ms"` // since Rows was known to be complete up to Revision
	// Statuses has the statuses of the objects in Rows that have one, by name.
	Statuses map[string][]byte `cbor:"statuses,omitempty"`
}

// ChangeRow is the current version of an object, or its deletion.
type ChangeRow struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Version uint64
	Deleted bool
	Value   []byte
}

// StoreChanges reads the changes of the store from another instance, so that not
// every instance has to read the store.
var StoreChanges = &Message[StoreChangesBody, StoreChangesResponse]{Request: "store.changes", Response: "store.changes.answer", Timeout: storeChangesTimeout}

// ConfigurationBody requests the configuration that the peer has in force, if it is newer.
type ConfigurationBody struct {
	Generation uint64 `cbor:"generation"` // in force at the sender; zero: none
}

// ConfigurationResponse holds the configuration in force, unless it is not newer than the one
// of the sender, and the newest weights.
type ConfigurationResponse struct {
	Generation uint64 `cbor:"generation"`
	Revision   uint64 `cbor:"revision"`
	Value      []byte `cbor:"value"`
	// Weights has the newest named version by model.
	Weights map[string]string `cbor:"weights,omitempty"`
}

// NewerConfiguration reads the configuration that another instance has in force, and the
// newest weights: a store that was restored from a copy may not have them any more.
var NewerConfiguration = &Message[ConfigurationBody, ConfigurationResponse]{Request: "store.configuration", Response: "store.configuration.answer", Timeout: storeChangesTimeout}
