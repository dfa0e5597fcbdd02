package gateway

import (
	"encoding/json"
	"net/http"
	"sort"

	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

type modelsDocument struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// ModelList answers GET /v1/models with the models that the caller may use. It is
// the last filter of its chain.
type ModelList struct{}

// Name implements Filter.
func (ModelList) Name() string { return "models" }

// Handle implements Filter.
func (ModelList) Handle(ex *Exchange, next Handler) error {
	list := modelsDocument{Object: "list", Data: []modelEntry{}}
	for _, name := range allowedModels(ex) {
		list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: "lacewingwheel"})
	}
	ex.Writer.Header().Set("Content-Type", "application/json")
	ex.Writer.WriteHeader(http.StatusOK)
	return json.NewEncoder(ex.Writer).Encode(list)
}

// allowedModels returns the sorted names of the models on the caller's routes.
func allowedModels(ex *Exchange) []string {
	seen := make(map[string]bool)
	for i := range ex.Snapshot.Tables.Routes {
		route := &ex.Snapshot.Tables.Routes[i]
		if !mayUseRoute(ex, route) {
			continue
		}
		name := route.Model
		if pool := ex.Snapshot.Pool(route.Pool); name == "" && pool != nil {
			name = pool.Model
		}
		if name != "" {
			seen[name] = true
		}
	}
	names := make([]string, 0, len(seen))
	for name := range seen {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// mayUseRoute reports whether the route is open or allows the caller's
// organisation.
func mayUseRoute(ex *Exchange, route *tables.Route) bool {
	if route.Access == tables.AccessOpen {
		return true
	}
	return ex.HasKey && route.AllowsOrganisation(ex.Organisation.Name)
}
