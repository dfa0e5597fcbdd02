package relay

import (
	"net/http"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

// KeyFilter finds the organisation of a request by its key.
type KeyFilter struct {
	Configuration SnapshotSource
	// MaxProofAge is the age of the configuration from which no key is accepted
	// any more: one of them may have been withdrawn. Zero means no bound.
	MaxProofAge func() time.Duration
}

// Handle implements Filter.
func (f *KeyFilter) Handle(ex *Exchange, next Handler) error {
	if ex.Route.Access == tables.AccessOpen || len(ex.Snapshot.Tables.Organisations) == 0 {
		return next(ex)
	}
	ex.ProofAge = f.Configuration.ProofAge()
	if err := f.checkAge(ex); err != nil {
		return err
	}
	if !ex.Metadata.HasKey {
		return refuseKey(apierr.CodeMissingKey, "the route needs a key")
	}
	ex.Organisation = ex.Snapshot.FindKey(tables.DigestKey(ex.Metadata.Key))
	if ex.Organisation == nil {
		return refuseKey(apierr.CodeInvalidKey, "the key is not known")
	}
	if !ex.Route.Allows(ex.Organisation.Name) {
		return &apierr.Error{
			Code: apierr.CodeForbidden, Status: http.StatusForbidden, Outcome: apierr.NotRun,
			Message: "the organisation may not use the route", Remedy: "ask the operators for access",
		}
	}
	return next(ex)
}

func (f *KeyFilter) checkAge(ex *Exchange) error {
	limit := f.MaxProofAge()
	if limit > 0 && ex.ProofAge > limit {
		return errNotReady(ex, "keys cannot be checked: the configuration was last confirmed too long ago")
	}
	return nil
}

// Revalidate reports whether the request's key is valid in the newest
// configuration, for a request that waited or is sent again.
func (f *KeyFilter) Revalidate(ex *Exchange) error {
	if ex.Organisation == nil {
		return nil
	}
	ex.ProofAge = f.Configuration.ProofAge()
	if err := f.checkAge(ex); err != nil {
		return err
	}
	snapshot := f.Configuration.Snapshot()
	if snapshot == ex.Snapshot {
		return nil
	}
	organisation := snapshot.FindKey(tables.DigestKey(ex.Metadata.Key))
	if organisation == nil || organisation.Name != ex.Organisation.Name {
		return refuseKey(apierr.CodeKeyRevoked, "the key was withdrawn")
	}
	return nil
}

func refuseKey(code apierr.Code, message string) error {
	return &apierr.Error{
		Code: code, Status: http.StatusUnauthorized, Outcome: apierr.NotRun,
		Message: message, Remedy: "ask the operators for a key",
	}
}
