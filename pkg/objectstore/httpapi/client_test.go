package httpapi

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// The header of an answer of the platform must not fill the memory of the router.
func TestTooLargeHeaderFails(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Long", strings.Repeat("x", 2*maxHeaderBytes))
		_, _ = w.Write([]byte(`{}`))
	}))
	defer server.Close()
	_, err := New(server.URL).Get(t.Context(), "things", "a")
	assert.ErrorContains(t, err, "headers exceeded")
}
