package burn

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Instances publish their document in the expvar map ExpvarMapName under the key
// ExpvarName.
const (
	ExpvarMapName = "lacewingwheel"
	ExpvarName    = "service_level"
)

const (
	fetchTimeout         = 3 * time.Second // per instance
	maxConcurrentFetches = 32
	maxResponseBytes     = 64 << 20
)

var errNoDocument = errors.New("/debug/vars has no " + ExpvarMapName + "." + ExpvarName)

// FetchDocuments reads the service-level documents of instances from their
// operator addresses, which are URLs without a path. It returns the documents in
// the order of the addresses, and the instances that could not be read within
// 3 s or sent no valid document.
func FetchDocuments(ctx context.Context, client *http.Client, addresses []string) ([]Document, []MissingInstance) {
	documents := make([]*Document, len(addresses))
	failures := make([]error, len(addresses))
	slots := make(chan struct{}, maxConcurrentFetches)
	var group sync.WaitGroup
	for i, address := range addresses {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			documents[i], failures[i] = fetchDocument(ctx, client, address)
		})
	}
	group.Wait()
	var fetched []Document
	var missing []MissingInstance
	for i, address := range addresses {
		if failures[i] != nil {
			missing = append(missing, MissingInstance{Address: address, Reason: failures[i].Error()})
			continue
		}
		fetched = append(fetched, *documents[i])
	}
	return fetched, missing
}

func fetchDocument(ctx context.Context, client *http.Client, address string) (*Document, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address+"/debug/vars", nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	var vars map[string]json.RawMessage
	var published map[string]json.RawMessage
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&vars); err != nil {
		return nil, err
	}
	if err := json.Unmarshal(vars[ExpvarMapName], &published); err != nil {
		return nil, errNoDocument
	}
	var doc Document
	if err := json.Unmarshal(published[ExpvarName], &doc); err != nil {
		return nil, err
	}
	return &doc, nil
}
