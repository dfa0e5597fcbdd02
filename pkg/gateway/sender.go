package gateway

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/engine"
	"lacewingwheel.example/lacewingwheel/pkg/memlimit"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
	"lacewingwheel.example/lacewingwheel/pkg/targetconn"
)

const (
	dialTimeout              = 500 * time.Millisecond
	idleConnsPerTarget       = 64
	idleConnTimeout          = 30 * time.Second
	maxBufferedResponseBytes = 32 << 20
	// freeResponseBytes is the size of a response up to which nothing is reserved in
	// Sender.memory.
	freeResponseBytes = 64 << 10
	// maxResponseMemory is what responses of targets may take together until they are sent
	// to callers, beyond a small part of each, and responseMemoryDivisor the part of the
	// process's memory.
	maxResponseMemory     = 256 << 20
	responseMemoryDivisor = 10
)

// attemptError is the failure of one attempt to send a request.
type attemptError struct {
	cause          error
	notRun         bool // the target cannot have run the request
	connectionLost bool // the established connection failed and the router did not cancel it
	callerGone     bool
}

// Error implements error.
func (e *attemptError) Error() string { return e.cause.Error() }

// Sender sends requests to targets and relays their responses. It is safe for
// concurrent use.
type Sender struct {
	// Targets shows whether an engine that sends nothing is alive. It may be nil.
	Targets TargetSource

	pooled *http.Transport // for repeatable routes
	// unpooled, for other routes, uses a new connection per request: on a reused
	// connection that breaks before the first byte of the response, http.Transport
	// resends the request.
	unpooled *http.Transport
	memory   *memlimit.Budget
}

// NewSender returns a sender with its own connection pool.
func NewSender() *Sender {
	return &Sender{pooled: newTransport(false), unpooled: newTransport(true), memory: memlimit.NewBudget(maxResponseMemory)}
}

// LimitMemory sizes the memory of responses by that of the process. It must be called before
// the first request.
func (s *Sender) LimitMemory(processBytes int64) {
	s.memory = memlimit.NewBudget(min(maxResponseMemory, processBytes/responseMemoryDivisor))
}

func newTransport(disableKeepAlives bool) *http.Transport {
	return &http.Transport{
		DialContext:         dialWatched,
		MaxIdleConnsPerHost: idleConnsPerTarget,
		IdleConnTimeout:     idleConnTimeout,
		DisableKeepAlives:   disableKeepAlives,
		DisableCompression:  true,
		Proxy:               nil,

		MaxResponseHeaderBytes: targetconn.MaxHeadBytes,
	}
}

// errRequestIDMismatch is returned for a response to another request.
var errRequestIDMismatch = errors.New("the target's response has the id of another request")

// errStalled is the cause with which a stalled attempt is cancelled.
var errStalled = errors.New("the target sent nothing for the pool's stall timeout")

// targetResponse is a response whose body has not been read yet.
type targetResponse struct {
	resp  *http.Response
	stall *stallTimer
}

func (r *targetResponse) close() {
	r.resp.Body.Close()
	r.stall.stop()
}

// readError returns the failure of an attempt whose response body could not be
// read completely. what names the kind of body.
func (r *targetResponse) readError(what string, err error) *attemptError {
	return &attemptError{
		cause:          fmt.Errorf("the target's %s was cut off: %w", what, r.stall.cause(err)),
		connectionLost: r.stall.ctx.Err() == nil,
	}
}

// send sends the request and checks the header of the response. The caller must
// close the response.
func (s *Sender) send(ex *Exchange) (*targetResponse, *attemptError) {
	stall := newStallTimer(ex.Context(), ex.Pool.StallTimeout, s.keepWaitingFunc(ex))
	watch := newWriteWatch()
	ctx := httptrace.WithClientTrace(stall.ctx, watch.trace())
	req, err := newTargetRequest(ctx, ex)
	if err != nil {
		stall.stop()
		return nil, &attemptError{cause: err, notRun: true}
	}
	transport := s.pooled
	if !ex.Route.Repeatable {
		transport = s.unpooled
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		connectionLost := watch.connected() && stall.ctx.Err() == nil
		cause := stall.cause(err)
		stall.stop()
		return nil, &attemptError{cause: cause, notRun: !watch.connected(), connectionLost: connectionLost}
	}
	if endsWithConnection(resp) {
		resp.Body = unframedBody{ReadCloser: resp.Body, ctx: stall.ctx, watch: watch}
	}
	response := &targetResponse{resp: resp, stall: stall}
	if failure := checkHeader(ex, resp); failure != nil {
		response.close()
		return nil, failure
	}
	return response, nil
}

// keepWaitingFunc returns a function that decides, whenever the stall timeout
// has passed, whether to wait for another one. An engine sends a response that is
// not streamed only after all tokens have been generated, which may take minutes,
// so the router waits while the state of the engine shows it alive. All other
// responses must make progress.
func (s *Sender) keepWaitingFunc(ex *Exchange) func() bool {
	if s.Targets == nil || ex.Pool.Kind != tables.PoolEngine || ex.Generation.Stream {
		return func() bool { return false }
	}
	sentTo := ex.Target
	return func() bool {
		current := s.Targets.TargetSet().ByID[sentTo.ID]
		return current != nil && current.Reachable && current.Incarnation == sentTo.Incarnation
	}
}

// errInvalidStatus is returned for a status that no final response can have.
var errInvalidStatus = errors.New("the target sent an invalid status")

// checkHeader fails the attempt if the response has an invalid status, belongs to another request, comes
// from other weights than the pool's, or states that the target did not run the
// request. It also records the load that an engine reports.
func checkHeader(ex *Exchange, resp *http.Response) *attemptError {
	if resp.StatusCode < http.StatusOK || resp.StatusCode > 599 {
		return &attemptError{cause: errInvalidStatus}
	}
	if requestIDMismatch(ex, resp.Header.Get(engine.HeaderRequestID)) {
		return &attemptError{cause: errRequestIDMismatch}
	}
	if load, ok := engine.ParseLoadHeaders(resp.Header); ok && ex.Pool.Kind == tables.PoolEngine {
		ex.Target.Live.RecordLoad(load, time.Now())
	}
	if failure := checkWeightVersion(ex, resp); failure != nil {
		return failure
	}
	refusal := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	if refusal && resp.Header.Get(engine.HeaderNotRun) == "1" {
		return &attemptError{cause: fmt.Errorf("the target refused the request with status %d", resp.StatusCode), notRun: true}
	}
	return nil
}

// requestIDMismatch reports whether a response belongs to another request. An
// engine must return the ID; a service may omit it.
func requestIDMismatch(ex *Exchange, echoed string) bool {
	if ex.Pool.Kind == tables.PoolEngine {
		return echoed != ex.ID
	}
	return ex.Pool.CheckRequestID && echoed != "" && echoed != ex.ID
}

// errWeightVersionMismatch is returned if a target has loaded other weights since
// its state was read.
var errWeightVersionMismatch = errors.New("the target runs another weight version")

// checkWeightVersion fails the attempt if the response comes from another weight
// version than the pool's, or resumes a stream that another version began.
func checkWeightVersion(ex *Exchange, resp *http.Response) *attemptError {
	weights := resp.Header.Get(engine.HeaderWeightVersion)
	if weights == "" || ex.Pool.Kind != tables.PoolEngine {
		return nil
	}
	if ex.Pool.WeightVersion != "" && weights != ex.Pool.WeightVersion {
		return &attemptError{cause: errWeightVersionMismatch}
	}
	if ex.DeliveredPosition > 0 && weights != ex.weightVersion {
		return &attemptError{cause: errWeightVersionMismatch}
	}
	ex.weightVersion = weights
	return nil
}

// newTargetRequest copies the caller's request and adds the router's headers.
func newTargetRequest(ctx context.Context, ex *Exchange) (*http.Request, error) {
	url := "http://" + ex.Target.Address + ex.Request.URL.RequestURI()
	var body io.Reader = http.NoBody
	if len(ex.Body) > 0 {
		body = bytes.NewReader(ex.Body)
	}
	req, err := http.NewRequestWithContext(ctx, ex.Request.Method, url, body)
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport cannot resend the body: only Forwarder retries.
	req.GetBody = nil
	copyRequestHeader(req.Header, ex.Request.Header)
	req.Header.Set(engine.HeaderRequestID, ex.ID)
	req.Header.Set(engine.HeaderPriority, strconv.Itoa(ex.Route.Priority))
	req.Header.Set(engine.HeaderCacheSalt, cacheSalt(ex.OrganisationName()))
	if ex.DeliveredPosition > 0 {
		req.Header.Set(engine.HeaderResumeAfter, strconv.FormatUint(ex.DeliveredPosition, 10))
	}
	return req, nil
}

// cacheSalt returns a value that separates the cached prefixes of organisations
// on engines.
func cacheSalt(organisation string) string {
	sum := sha256.Sum256([]byte("organisation:" + organisation))
	return hex.EncodeToString(sum[:8])
}

// unforwardedHeaders are hop-by-hop headers, headers that the router sets itself,
// and headers that no target may receive. With Idempotency-Key, http.Transport
// would resend requests.
var unforwardedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Proxy-Connection": true,
	"Idempotency-Key": true, "X-Idempotency-Key": true, "Content-Length": true, "Accept-Encoding": true,
	engine.HeaderRequestID: true, engine.HeaderPriority: true, engine.HeaderCacheSalt: true,
	engine.HeaderResumeAfter: true,
}

// copyRequestHeader copies the headers that may be forwarded to a target.
func copyRequestHeader(dst, src http.Header) {
	listed := connectionHeaders(src)
	for name, values := range src {
		if unforwardedHeaders[name] || listed[name] {
			continue
		}
		dst[name] = append([]string(nil), values...)
	}
}

// connectionHeaders returns the names of h that are listed in its Connection header. They are
// not forwarded either.
func connectionHeaders(h http.Header) map[string]bool {
	listed := make(map[string]bool)
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			name = http.CanonicalHeaderKey(strings.TrimSpace(name))
			if _, present := h[name]; present {
				listed[name] = true
			}
		}
	}
	return listed
}

// readUsageHeaders sets the prompt's tokens in ex.Usage from the headers of a
// response.
func readUsageHeaders(ex *Exchange, h http.Header) {
	ex.Usage.PromptTokens, _ = strconv.Atoi(h.Get(engine.HeaderPromptTokens))
	ex.Usage.CachedTokens, _ = strconv.Atoi(h.Get(engine.HeaderCachedTokens))
}
