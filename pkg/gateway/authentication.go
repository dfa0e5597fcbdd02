package gateway

import (
	"net/http"
	"net/url"
	"slices"
	"strings"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

// Locations of a key in a request.
const (
	headerAuthorization = "Authorization"
	headerAPIKey        = "X-Api-Key"
	keyParameter        = "api_key" // query parameter and cookie
	bearerPrefix        = "Bearer "
)

// SnapshotSource provides the configuration in force.
type SnapshotSource interface {
	// Snapshot returns nil until the first configuration is in force.
	Snapshot() *tables.Snapshot
}

// Authentication finds the organisation of the caller's key and removes the key
// from the request, so that no target or log receives it. A request without a key
// passes; Routing decides whether its route needs one.
type Authentication struct {
	Source          SnapshotSource
	RunningRequests *RunningRequests
}

// Name implements Filter.
func (f *Authentication) Name() string { return "key" }

// Handle implements Filter.
func (f *Authentication) Handle(ex *Exchange, next Handler) error {
	keys := takeKeys(ex.Request)
	ex.Snapshot = f.Source.Snapshot()
	if ex.Snapshot == nil {
		return errNotReady()
	}
	if len(keys) == 0 {
		return next(ex)
	}
	if len(keys) > 1 {
		return errMultipleKeys()
	}
	ex.KeyDigest = tables.HashKey(keys[0])
	ex.HasKey = true
	ex.Organisation = ex.Snapshot.OrganisationByKeyDigest(ex.KeyDigest)
	if ex.Organisation == nil {
		return errInvalidKey()
	}
	release := f.RunningRequests.add(ex)
	defer release()
	// A snapshot without the key may have come into force before the request
	// was added; CancelRevoked for that snapshot has then missed it.
	if f.Source.Snapshot().OrganisationByKeyDigest(ex.KeyDigest) == nil {
		return errInvalidKey()
	}
	return next(ex)
}

// maxKeys is the number of different keys that takeKeys returns at most. A request with more
// than one is refused.
const maxKeys = 2

// takeKeys removes all keys from the request and returns the first maxKeys of them without
// duplicates.
func takeKeys(r *http.Request) []string {
	var keys []string
	add := func(key string) {
		if key != "" && len(keys) < maxKeys && !slices.Contains(keys, key) {
			keys = append(keys, key)
		}
	}
	for _, value := range r.Header.Values(headerAuthorization) {
		if len(value) >= len(bearerPrefix) && strings.EqualFold(value[:len(bearerPrefix)], bearerPrefix) {
			value = value[len(bearerPrefix):]
		}
		add(strings.TrimSpace(value))
	}
	for _, value := range r.Header.Values(headerAPIKey) {
		add(strings.TrimSpace(value))
	}
	r.Header.Del(headerAuthorization)
	r.Header.Del(headerAPIKey)
	takeQueryKeys(r, add)
	takeCookieKeys(r, add)
	removeHeadersContaining(r.Header, keys)
	return keys
}

// takeQueryKeys removes the parameters with keys from the query. It leaves the others as they are and
// builds nothing from them: a head may name thousands.
func takeQueryKeys(r *http.Request, add func(string)) {
	query, found := removeFields(r.URL.RawQuery, "&", func(field string) bool {
		key, isKey := queryKey(field)
		add(key)
		return isKey
	})
	if !found {
		return
	}
	r.URL.RawQuery = query
	r.RequestURI = r.URL.RequestURI()
}

// queryKey returns the key that a field of a query states. Malformed fields state none.
func queryKey(field string) (key string, isKey bool) {
	name, value, _ := strings.Cut(field, "=")
	if strings.Contains(field, ";") {
		return "", false
	}
	if name != keyParameter {
		if !strings.Contains(name, "%") {
			return "", false
		}
		if decoded, err := url.QueryUnescape(name); err != nil || decoded != keyParameter {
			return "", false
		}
	}
	key, err := url.QueryUnescape(value)
	return key, err == nil
}

// takeCookieKeys does the same with the cookies.
func takeCookieKeys(r *http.Request, add func(string)) {
	lines := r.Header["Cookie"]
	kept := lines[:0:0]
	changed := false
	for _, line := range lines {
		rest, found := removeFields(line, ";", func(field string) bool {
			name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
			if name != keyParameter {
				return false
			}
			add(strings.Trim(value, `"`))
			return true
		})
		changed = changed || found
		if rest = strings.TrimSpace(rest); rest != "" {
			kept = append(kept, rest)
		}
	}
	switch {
	case !changed:
	case len(kept) == 0:
		r.Header.Del("Cookie")
	default:
		r.Header["Cookie"] = kept
	}
}

// removeFields removes the fields of a list for which remove returns true, and reports whether
// there are any.
func removeFields(list, separator string, remove func(field string) bool) (rest string, found bool) {
	var kept strings.Builder
	start := 0 // of the fields that are not in kept yet
	for at := 0; at <= len(list); {
		length := strings.Index(list[at:], separator)
		if length < 0 {
			length = len(list) - at
		}
		next := at + length + len(separator)
		if remove(list[at : at+length]) {
			found = true
			kept.WriteString(list[start:at])
			start = min(next, len(list))
		}
		at = next
	}
	if !found {
		return list, false
	}
	kept.WriteString(list[start:])
	return strings.TrimSuffix(kept.String(), separator), true
}

// removeHeadersContaining deletes each header with a value that contains a key,
// such as a Referer with the query parameter.
func removeHeadersContaining(header http.Header, keys []string) {
	for name, values := range header {
		for _, value := range values {
			if containsAny(value, keys) {
				header.Del(name)
				break
			}
		}
	}
}

func containsAny(value string, keys []string) bool {
	for _, key := range keys {
		if strings.Contains(value, key) {
			return true
		}
	}
	return false
}

func errNotReady() error {
	return &apierr.Error{
		Code: apierr.CodeNotReady, Status: http.StatusServiceUnavailable, Outcome: apierr.OutcomeNotRun,
		Message:    "this instance has no configuration yet",
		Remedy:     "send the request again after the time in Retry-After",
		RetryAfter: apierr.DefaultRetryAfter,
	}
}

func errMultipleKeys() error {
	return &apierr.Error{
		Code: apierr.CodeInvalidKey, Status: http.StatusUnauthorized, Outcome: apierr.OutcomeNotRun,
		Message: "the request carries several different keys",
		Remedy:  "send one key, in the Authorization header",
	}
}

func errInvalidKey() error {
	return &apierr.Error{
		Code: apierr.CodeInvalidKey, Status: http.StatusUnauthorized, Outcome: apierr.OutcomeNotRun,
		Message: "the key is not valid",
		Remedy:  "check the key, or ask the operators for a new one",
	}
}
