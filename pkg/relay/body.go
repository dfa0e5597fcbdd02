package relay

import (
	"errors"
	"io"
	"net/http"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
)

// BodyFilter reads the whole body, so that a target never waits for a slow caller and
// a request can be sent again.
type BodyFilter struct{}

// defaultBodyLimit bounds a body where the configuration states no limit.
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
	var syntax *http.MaxBytesError
	if errors.As(err, &syntax) {
		return nil, errBodyTooLarge()
	}
	return nil, callerGone(ex, err)
}

func errBodyTooLarge() error {
	return &apierr.Error{
		Code: apierr.CodeBodyTooLarge, Status: http.StatusRequestEntityTooLarge, Outcome: apierr.NotRun,
		Message: "the body is larger than the configured limit", Remedy: "send a smaller body",
	}
}

// statusCallerGone is only logged; nobody is left to receive it.
const statusCallerGone = 499

func callerGone(ex *Exchange, cause error) error {
	outcome := apierr.NotRun
	if ex.MayHaveRun {
		outcome = apierr.Unknown
	}
	return &apierr.Error{
		Code: apierr.CodeCallerGone, Status: statusCallerGone, Outcome: outcome,
		Message: "the caller closed the connection before the exchange was over",
		Remedy:  "keep the connection open until the response ends", Cause: cause,
	}
}
