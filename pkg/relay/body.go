package relay

import (
	"errors"
	"io"
	"net/http"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
)

// BodyFilter reads the whole request body, so that a target never waits for a
// slow caller and the request can be sent again.
type BodyFilter struct{}

// defaultBodyLimit is the largest body in bytes if the configuration states no
// limit.
const defaultBodyLimit = 4 << 20

// Handle implements Filter.
func (BodyFilter) Handle(ex *Exchange, next Handler) error {
	limit := ex.Snapshot.Tables.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	if ex.Request.ContentLength > limit {
		return errBodyTooLarge()
	}
	if ex.Request.Body == nil || ex.Request.Body == http.NoBody {
		return next(ex)
	}
	var err error
	ex.Body, err = readBody(ex, limit)
	if err != nil {
		return err
	}
	if int64(len(ex.Body)) > limit {
		return errBodyTooLarge()
	}
	return next(ex)
}

func readBody(ex *Exchange, limit int64) ([]byte, error) {
	var body []byte
	var err error
	if n := ex.Request.ContentLength; n >= 0 {
		body = make([]byte, n)
		_, err = io.ReadFull(ex.Request.Body, body)
	} else {
		body, err = io.ReadAll(io.LimitReader(ex.Request.Body, limit+1))
	}
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, errBodyTooLarge()
	}
	return nil, errCallerGone(ex, err)
}

func errBodyTooLarge() error {
	return &apierr.Error{
		Code: apierr.CodeBodyTooLarge, Status: http.StatusRequestEntityTooLarge, Outcome: apierr.OutcomeNotRun,
		Message: "the body is larger than the configured limit", Remedy: "send a smaller body",
	}
}

// statusCallerGone is only logged: the caller has closed the connection.
const statusCallerGone = 499

// errCallerGone returns the error of a request whose caller closed the
// connection.
func errCallerGone(ex *Exchange, cause error) error {
	outcome := apierr.OutcomeNotRun
	if ex.MayHaveRun {
		outcome = apierr.OutcomeUnknown
	}
	return &apierr.Error{
		Code: apierr.CodeCallerGone, Status: statusCallerGone, Outcome: outcome,
		Message: "the caller closed the connection before the exchange was over",
		Remedy:  "keep the connection open until the response ends", Cause: cause,
	}
}
