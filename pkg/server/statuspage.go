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

// ago returns the time since t in whole seconds, such as "3s ago", or "never".
func ago(t *time.Time) string {
	if t == nil {
		return "never"
	}
	return time.Since(*t).Round(time.Second).String() + " ago"
}

// serveStatusPage serves the status document as an HTML page that loads nothing
// else.
func (s *Server) serveStatusPage(w http.ResponseWriter, _ *http.Request) {
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
