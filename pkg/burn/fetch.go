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

// Names under which instances publish their document: in the map ExpvarMapName, the
// variable ExpvarName.
const (
	ExpvarMapName = "lacewingwheel"
	ExpvarName    = "service_level"
)

const (
	fetchTimeout     = 3 * time.Second
	maxFetchParallel = 32
	maxDocumentBytes = 64 << 20
)

var errNoDocument = errors.New("its variables have no " + ExpvarMapName + "." + ExpvarName)

// FetchDocuments reads the documents of instances by their operator addresses, given as
// URLs. Instances that do not answer are returned too.
func FetchDocuments(ctx context.Context, client *http.Client, addresses []string) ([]Document, []MissingInstance) {
	documents := make([]*Document, len(addresses))
	failures := make([]error, len(addresses))
	slots := make(chan struct{}, maxFetchParallel)
	var group sync.WaitGroup
	for i, address := range addresses {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			documents[i], failures[i] = fetchOne(ctx, client, address)
		})
	}
	group.Wait()
	var found []Document
	var missing []MissingInstance
	for i, address := range addresses {
		if failures[i] != nil {
			missing = append(missing, MissingInstance{Address: address, Reason: failures[i].Error()})
			continue
		}
		found = append(found, *documents[i])
	}
	return found, missing
}

func fetchOne(ctx context.Context, client *http.Client, address string) (*Document, error) {
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
	var own map[string]json.RawMessage
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxDocumentBytes)).Decode(&vars); err != nil {
		return nil, err
	}
	if err := json.Unmarshal(vars[ExpvarMapName], &own); err != nil {
		return nil, errNoDocument
	}
	var doc Document
	if err := json.Unmarshal(own[ExpvarName], &doc); err != nil {
		return nil, err
	}
	return &doc, nil
}
