package relay

import (
	"net/http"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

// KeyFilter checks the API key of a request and sets its organisation. Routes
// with open access need no key, nor do requests while no organisations are
// configured.
type KeyFilter struct {
	Configuration SnapshotSource
	// MaxProofAge returns the age of the configuration proof above which no key
	// is accepted, because a key may have been revoked since. Zero means no
	// limit.
	MaxProofAge func() time.Duration
}

// Handle implements Filter.
func (f *KeyFilter) Handle(ex *Exchange, next Handler) error {
	if ex.Route.Access == tables.AccessOpen || len(ex.Snapshot.Tables.Organisations) == 0 {
		return next(ex)
	}
	ex.ProofAge = f.Configuration.ProofAge()
	if err := f.checkProofAge(ex); err != nil {
		return err
	}
	if !ex.Metadata.HasKey {
		return errUnauthorized(apierr.CodeMissingKey, "the route needs a key")
	}
	ex.Organisation = ex.Snapshot.OrganisationByKeyDigest(tables.HashKey(ex.Metadata.Key))
	if ex.Organisation == nil {
		return errUnauthorized(apierr.CodeInvalidKey, "the key is not known")
	}
	if !ex.Route.AllowsOrganisation(ex.Organisation.Name) {
		return &apierr.Error{
			Code: apierr.CodeOrganisationNotAllowed, Status: http.StatusForbidden, Outcome: apierr.OutcomeNotRun,
			Message: "the organisation may not use the route", Remedy: "ask the operators for access",
		}
	}
	return next(ex)
}

// checkProofAge returns an error if the last proof of the configuration is too
// old to accept keys.
func (f *KeyFilter) checkProofAge(ex *Exchange) error {
	limit := f.MaxProofAge()
	if limit > 0 && ex.ProofAge > limit {
		return errNotReady(ex, "keys cannot be checked: the configuration was last confirmed too long ago")
	}
	return nil
}

// Revalidate checks the key against the newest configuration. It is called
// before a request is sent again. It returns an error if the key was revoked or
// the configuration was last confirmed too long ago.
func (f *KeyFilter) Revalidate(ex *Exchange) error {
	if ex.Organisation == nil {
		return nil
	}
	ex.ProofAge = f.Configuration.ProofAge()
	if err := f.checkProofAge(ex); err != nil {
		return err
	}
	snapshot := f.Configuration.Snapshot()
	if snapshot == ex.Snapshot {
		return nil
	}
	organisation := snapshot.OrganisationByKeyDigest(tables.HashKey(ex.Metadata.Key))
	if organisation == nil || organisation.Name != ex.Organisation.Name {
		return errUnauthorized(apierr.CodeKeyRevoked, "the key was withdrawn")
	}
	return nil
}

func errUnauthorized(code apierr.Code, message string) error {
	return &apierr.Error{
		Code: code, Status: http.StatusUnauthorized, Outcome: apierr.OutcomeNotRun,
		Message: message, Remedy: "ask the operators for a key",
	}
}
