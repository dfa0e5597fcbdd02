package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/pkg/callerconn"
	"lacewingwheel.example/lacewingwheel/pkg/slowcaller"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

// maxBodyBytes bounds a request body. A prompt of 128,000 tokens takes about
// 0.5 MB; the rest leaves room for images.
const maxBodyBytes = 16 << 20

// Routing reads the body, selects the route and its pool, checks that the caller
// may use the route, and sets the deadline.
type Routing struct {
	// Callers holds the memory of bodies; nil means no bound.
	Callers *callerconn.Limiter
}

// bodyCopies is the number of copies of a body that a request holds: the prompt is decoded
// from it.
const bodyCopies = 2

// Name implements Filter.
func (Routing) Name() string { return "route" }

// Handle implements Filter.
func (f Routing) Handle(ex *Exchange, next Handler) error {
	holding, err := f.Callers.HoldFor(ex.OrganisationName(), ex.Request)
	if err != nil {
		ex.Writer.Header().Set("Connection", "close") // the body is not read
		return errNoRequestMemory(err)
	}
	defer holding.Release()
	body, err := f.readBody(ex)
	if err != nil {
		return err
	}
	defer body.Release()
	holding.AddBody(body.Bytes)
	ex.Body = body.Bytes
	parseErr := parseGeneration(ex)
	if err := selectRoute(ex); err != nil {
		return err
	}
	if ex.Pool.Kind == tables.PoolEngine && parseErr != nil {
		return parseErr
	}
	if err := authorise(ex); err != nil {
		return err
	}
	ex.Deadline = ex.Timing.Start.Add(ex.Route.Deadline)
	ctx, cancel := context.WithDeadline(ex.Context(), ex.Deadline)
	defer cancel()
	ex.Request = ex.Request.WithContext(ctx)
	defer slowcaller.UnblockWrites(ctx, ex.Writer, finalWriteTimeout)()
	return next(ex)
}

// readBody returns the request body, or an error with status 413, 400 or 503.
func (f Routing) readBody(ex *Exchange) (*callerconn.Body, error) {
	clearDeadline := setBodyReadDeadline(ex.Writer)
	ex.Request.Body = http.MaxBytesReader(ex.Writer, ex.Request.Body, maxBodyBytes)
	body, err := f.Callers.ReadBody(ex.Writer, ex.Request, maxBodyBytes, bodyCopies)
	if err == nil {
		clearDeadline()
		return body, nil
	}
	// The server reads on after the error and would wait for a caller that stalls.
	_ = http.NewResponseController(ex.Writer).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	ex.Writer.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, callerconn.ErrOutOfMemory) || errors.Is(err, callerconn.ErrStalled):
		return nil, errNoRequestMemory(err)
	case errors.Is(err, callerconn.ErrBodyTooLarge) || errors.As(err, &tooLarge):
		return nil, &apierr.Error{
			Code: apierr.CodeBodyTooLarge, Status: http.StatusRequestEntityTooLarge, Outcome: apierr.OutcomeNotRun,
			Message: fmt.Sprintf("the body exceeds %d bytes", maxBodyBytes),
			Remedy:  "send a shorter prompt",
		}
	}
	return nil, &apierr.Error{
		Code: apierr.CodeBadRequest, Status: http.StatusBadRequest, Outcome: apierr.OutcomeNotRun,
		Message: "the body could not be read",
		Remedy:  "send the whole body", Cause: err,
	}
}

// OutOfMemory refuses all requests, because no memory is left for their heads.
type OutOfMemory struct{}

// Name implements Filter.
func (OutOfMemory) Name() string { return "out_of_memory" }

// Handle implements Filter.
func (OutOfMemory) Handle(*Exchange, Handler) error {
	return errNoRequestMemory(callerconn.ErrOutOfMemory)
}

func errNoRequestMemory(cause error) error {
	return &apierr.Error{
		Code: apierr.CodeOutOfMemory, Status: http.StatusServiceUnavailable, Outcome: apierr.OutcomeNotRun,
		Message: "no memory is left for the request", Remedy: "send the request again after the time in Retry-After",
		RetryAfter: apierr.DefaultRetryAfter, Cause: cause,
	}
}

type generationBody struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
}

// parseGeneration sets ex.Generation from the body. It returns an error with
// status 400 if the body is not a valid generation request.
func parseGeneration(ex *Exchange) error {
	var body generationBody
	if err := json.Unmarshal(ex.Body, &body); err != nil {
		return badRequest("the body is not a JSON object of the expected shape", "send a JSON object with a model and messages or a prompt", err)
	}
	ex.Generation = GenerationRequest{Model: body.Model, Stream: body.Stream, MaxTokens: max(body.MaxTokens, body.MaxCompletionTokens)}
	ex.Generation.Prompt = body.Messages
	if len(body.Prompt) > 0 {
		ex.Generation.Prompt = body.Prompt
	}
	switch {
	case body.Model == "":
		return badRequest("the request names no model", "set the field model; GET /v1/models lists the models", nil)
	case len(ex.Generation.Prompt) == 0:
		return badRequest("the request has no prompt", "set the field messages or prompt", nil)
	case body.MaxTokens < 0 || body.MaxCompletionTokens < 0:
		return badRequest("max_tokens is negative", "set max_tokens to a positive number or leave it out", nil)
	}
	return nil
}

func badRequest(message, remedy string, cause error) error {
	return &apierr.Error{
		Code: apierr.CodeBadRequest, Status: http.StatusBadRequest, Outcome: apierr.OutcomeNotRun,
		Message: message, Remedy: remedy, Cause: cause,
	}
}

// selectRoute sets ex.Route and ex.Pool, or returns an error with status 404.
func selectRoute(ex *Exchange) error {
	matches := ex.Snapshot.MatchRoutes(hostWithoutPort(ex.Request.Host), ex.Request.URL.Path, ex.Generation.Model)
	if len(matches) == 0 {
		return &apierr.Error{
			Code: apierr.CodeNoRoute, Status: http.StatusNotFound, Outcome: apierr.OutcomeNotRun,
			Message: "no route matches the host, path and model of the request",
			Remedy:  "check the path and the model; GET /v1/models lists the models",
		}
	}
	ex.Route = pickWeighted(matches)
	ex.Pool = ex.Snapshot.Pool(ex.Route.Pool)
	return checkModel(ex)
}

// checkModel returns an error if the pool does not run the requested model. A
// route that names a model may use a pool with another model: its name is then
// an alias.
func checkModel(ex *Exchange) error {
	anyModel := ex.Pool.Kind != tables.PoolEngine || ex.Pool.Model == ""
	if anyModel || ex.Route.Model != "" || ex.Generation.Model == "" || ex.Generation.Model == ex.Pool.Model {
		return nil
	}
	return &apierr.Error{
		Code: apierr.CodeNoRoute, Status: http.StatusNotFound, Outcome: apierr.OutcomeNotRun,
		Message: "no route serves the model of the request",
		Remedy:  "GET /v1/models lists the models that you may use",
	}
}

func hostWithoutPort(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// pickWeighted returns one of several routes that match equally well, at random
// by weight.
func pickWeighted(routes []*tables.Route) *tables.Route {
	total := 0
	for _, route := range routes {
		total += route.Weight
	}
	if len(routes) == 1 || total <= 0 {
		return routes[0]
	}
	n := rand.IntN(total)
	for _, route := range routes {
		n -= route.Weight
		if n < 0 {
			return route
		}
	}
	return routes[len(routes)-1]
}

// authorise returns an error with status 401 or 403 if the caller may not use
// the route.
func authorise(ex *Exchange) error {
	if ex.Route.Access == tables.AccessOpen {
		return nil
	}
	if !ex.HasKey {
		return &apierr.Error{
			Code: apierr.CodeMissingKey, Status: http.StatusUnauthorized, Outcome: apierr.OutcomeNotRun,
			Message: "the route needs a key",
			Remedy:  "send the key in the Authorization header: Bearer <key>",
		}
	}
	if !ex.Route.AllowsOrganisation(ex.Organisation.Name) {
		return &apierr.Error{
			Code: apierr.CodeOrganisationNotAllowed, Status: http.StatusForbidden, Outcome: apierr.OutcomeNotRun,
			Message: "the organisation of the key may not use this route",
			Remedy:  "use a key of an organisation that may, or ask the operators for access",
		}
	}
	return nil
}
