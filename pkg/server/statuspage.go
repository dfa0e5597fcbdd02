package server

import (
	"bytes"
	_ "embed"
	"html/template"
	"net/http"
	"time"
)

//go:embed statuspage.html
var statusPageText string

var statusPageTemplate = template.Must(template.New("status").Funcs(template.FuncMap{"ago": ago}).Parse(statusPageText))

// ago returns how long ago a time was, for people.
func ago(t *time.Time) string {
	if t == nil {
		return "never"
	}
	return time.Since(*t).Round(time.Second).String() + " ago"
}

// statusPage is the status document as a page that needs nothing but itself.
func (s *Server) statusPage(w http.ResponseWriter, _ *http.Request) {
	var page bytes.Buffer
	if err := statusPageTemplate.Execute(&page, s.status()); err != nil {
		s.log.Error("status page not rendered", "cause", err)
		http.Error(w, "the page could not be rendered; use /status.json", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
	_, _ = page.WriteTo(w)
}
