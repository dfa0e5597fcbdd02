package gateway

import (
	"net/http"
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

// takeKeys removes all keys from the request and returns them without
// duplicates.
func takeKeys(r *http.Request) []string {
	var keys []string
	add := func(key string) {
		if key == "" {
			return
		}
		for _, other := range keys {
			if other == key {
				return
			}
		}
		keys = append(keys, key)
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

func takeQueryKeys(r *http.Request, add func(string)) {
	query := r.URL.Query()
	if _, ok := query[keyParameter]; !ok {
		return
	}
	for _, value := range query[keyParameter] {
		add(value)
	}
	query.Del(keyParameter)
	r.URL.RawQuery = query.Encode()
	r.RequestURI = r.URL.RequestURI()
}

func takeCookieKeys(r *http.Request, add func(string)) {
	cookies := r.Cookies()
	r.Header.Del("Cookie")
	for _, cookie := range cookies {
		if cookie.Name == keyParameter {
			add(cookie.Value)
			continue
		}
		r.AddCookie(cookie)
	}
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
