package peer

import "time"

// feedTimeout bounds an exchange of changes, with the time for which the
// answering instance holds it.
const feedTimeout = 2 * time.Second

// StoreChangesBody asks what changed in the store.
type StoreChangesBody struct {
	// AfterRevisions has the revision up to which the sender knows each kind; zero if it
	// has no list yet.
	AfterRevisions map[string]uint64 `cbor:"after"`
	// WaitMillis is how long the answer may wait for a change.
	WaitMillis int64 `cbor:"wait_ms"`
	// CachePositions has how far the sender knows each store of cached parts.
	CachePositions map[string]CachePosition `cbor:"caches,omitempty"`
}

// CachePosition is a position in the changes of a store of cached parts.
type CachePosition struct {
	_     struct{} `cbor:",toarray"`
	Epoch int64
	Next  int64
}

// StoreChangesAnswer is what an instance knows of the store. Ages are those at the
// time of the answer.
type StoreChangesAnswer struct {
	Kinds map[string]ObjectChanges `cbor:"kinds"`
	// ConfigurationRevision was the newest ConfigurationAgeMillis ago. Zero
	// means that there is no proof.
	ConfigurationRevision  uint64 `cbor:"configuration_revision"`
	ConfigurationAgeMillis int64  `cbor:"configuration_age_ms"`
	// StoreUnreachable says that the instance does not reach the store now.
	StoreUnreachable bool `cbor:"store_lost"`
	// StoreWasUnreachable says that the store was away, and StoreBackMillis how long ago
	// it came back; zero if it has not.
	StoreWasUnreachable  bool  `cbor:"store_away"`
	StoreRecoveredMillis int64 `cbor:"store_back_ms"`
	// Caches has what changed in stores of cached parts, by address.
	Caches map[string]CacheChanges `cbor:"caches,omitempty"`
}

// CacheChanges is what changed in a store of cached parts.
type CacheChanges struct {
	Position  CachePosition `cbor:"position"`
	AgeMillis int64         `cbor:"age_ms"` // since the store was last heard
	Rows      []CacheRow    `cbor:"rows,omitempty"`
}

// CacheRow is one part that was added or dropped.
type CacheRow struct {
	_     struct{} `cbor:",toarray"`
	Salt  string
	Part  string
	Added bool
}

// ObjectChanges is what changed in one kind of objects.
type ObjectChanges struct {
	IsFullList bool        `cbor:"whole"` // Rows is the whole list, without deleted objects
	Rows       []ChangeRow `cbor:"rows"`
	Revision   uint64      `cbor:"revision"`
	AgeMillis  int64       `cbor:"age_ms"` // since the view was surely complete
}

// ChangeRow is one object as it is now, or that it is gone.
type ChangeRow struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Version uint64
	Deleted bool
	Value   []byte
}

// StoreChanges passes on what an instance knows of the store.
var StoreChanges = &Message[StoreChangesBody, StoreChangesAnswer]{Request: "store.changes", Response: "store.changes.answer", Timeout: feedTimeout}
