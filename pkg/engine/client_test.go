package engine_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/engine"
	"lacewingwheel.example/lacewingwheel/pkg/targetconn"
)

// The header of an engine's answer must not fill the memory of the router.
func TestTooLargeHeaderFails(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Long", strings.Repeat("x", 2*targetconn.MaxHeadBytes))
		_, _ = w.Write([]byte(`{}`))
	}))
	defer server.Close()
	_, err := engine.NewHTTPClient().State(t.Context(), strings.TrimPrefix(server.URL, "http://"))
	assert.ErrorContains(t, err, "headers exceeded")
}
