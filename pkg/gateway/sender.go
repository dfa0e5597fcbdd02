package gateway

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/engine"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

const (
	dialTimeout         = 500 * time.Millisecond
	idleConnsPerTarget  = 64
	idleConnTimeout     = 30 * time.Second
	maxWholeAnswerBytes = 32 << 20
)

// attemptError says why one attempt failed.
type attemptError struct {
	cause      error
	notRun     bool // no target can have run this attempt
	broken     bool // the connection failed after it was made, not by our cancellation
	callerGone bool
}

// Error implements error.
func (e *attemptError) Error() string { return e.cause.Error() }

// Sender sends requests to targets.
type Sender struct {
	// Targets tells whether a silent engine is alive. It may be nil.
	Targets TargetSource

	repeatable *http.Transport
	// once has no idle connections: the transport resends a request by itself
	// when a reused connection breaks before the first byte of the answer.
	once *http.Transport
}

// NewSender returns a sender with its own connections.
func NewSender() *Sender {
	return &Sender{repeatable: newTransport(false), once: newTransport(true)}
}

func newTransport(once bool) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConnsPerTarget,
		IdleConnTimeout:     idleConnTimeout,
		DisableKeepAlives:   once,
		DisableCompression:  true,
		Proxy:               nil,
	}
}

// errCrossed means that a target answered another request.
var errCrossed = errors.New("the target answered with another request id")

// errStalled cancels an attempt whose target sends nothing for too long.
var errStalled = errors.New("the target sent nothing for the pool's stall timeout")

// sent is an answer whose body has not been read yet.
type sent struct {
	resp  *http.Response
	watch *stallWatch
}

func (s *sent) close() {
	s.resp.Body.Close()
	s.watch.stop()
}

// endedEarly returns the failure of an attempt whose answer could not be read
// to its end.
func (s *sent) endedEarly(what string, err error) *attemptError {
	return &attemptError{
		cause:  fmt.Errorf("%s ended early: %w", what, s.watch.cause(err)),
		broken: s.watch.ctx.Err() == nil,
	}
}

// send makes one attempt up to the response header.
func (s *Sender) send(ex *Exchange) (*sent, *attemptError) {
	watch := newStallWatch(ex.Context(), ex.Pool.StallTimeout, s.patience(ex))
	var connected atomic.Bool
	ctx := httptrace.WithClientTrace(watch.ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := newTargetRequest(ctx, ex)
	if err != nil {
		watch.stop()
		return nil, &attemptError{cause: err, notRun: true}
	}
	transport := s.repeatable
	if !ex.Route.Repeatable {
		transport = s.once
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		broken := connected.Load() && watch.ctx.Err() == nil
		cause := watch.cause(err)
		watch.stop()
		return nil, &attemptError{cause: cause, notRun: !connected.Load(), broken: broken}
	}
	answer := &sent{resp: resp, watch: watch}
	if failure := checkHeader(ex, resp); failure != nil {
		answer.close()
		return nil, failure
	}
	return answer, nil
}

// patience returns what decides, each time a target has been silent for the
// stall timeout, whether to wait on. An engine sends a whole answer only when
// all tokens are generated, which may take minutes, so it is waited for as long
// as its own state shows it alive. Everything else must show progress.
func (s *Sender) patience(ex *Exchange) func() bool {
	if s.Targets == nil || ex.Pool.Kind != tables.PoolEngine || ex.Generation.Stream {
		return func() bool { return false }
	}
	sentTo := ex.Target
	return func() bool {
		now := s.Targets.Set().ByID[sentTo.ID]
		return now != nil && now.Reachable && now.Incarnation == sentTo.Incarnation
	}
}

// checkHeader refuses answers that belong to another request and answers by
// which the target says that it did not run the request.
func checkHeader(ex *Exchange, resp *http.Response) *attemptError {
	if crossed(ex, resp.Header.Get(engine.HeaderRequestID)) {
		return &attemptError{cause: errCrossed}
	}
	if load, ok := engine.LoadOf(resp.Header); ok && ex.Pool.Kind == tables.PoolEngine {
		ex.Target.Live.RecordLoad(load, time.Now())
	}
	if failure := checkWeights(ex, resp); failure != nil {
		return failure
	}
	refusal := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	if refusal && resp.Header.Get(engine.HeaderNotRun) == "1" {
		return &attemptError{cause: fmt.Errorf("the target refused with status %d", resp.StatusCode), notRun: true}
	}
	return nil
}

// crossed reports whether a response belongs to another request. An engine must
// return the id; a service may leave it out.
func crossed(ex *Exchange, echoed string) bool {
	if ex.Pool.Kind == tables.PoolEngine {
		return echoed != ex.ID
	}
	return ex.Pool.CheckRequestID && echoed != "" && echoed != ex.ID
}

// errWeights means that a target has loaded other weights since its state was read.
var errWeights = errors.New("the target runs another weight version")

// checkWeights refuses responses from weights that the pool does not ask for,
// and a resumed stream from other weights than its start.
func checkWeights(ex *Exchange, resp *http.Response) *attemptError {
	weights := resp.Header.Get(engine.HeaderWeights)
	if weights == "" || ex.Pool.Kind != tables.PoolEngine {
		return nil
	}
	if ex.Pool.WeightVersion != "" && weights != ex.Pool.WeightVersion {
		return &attemptError{cause: errWeights}
	}
	if ex.DeliveredPosition > 0 && weights != ex.weights {
		return &attemptError{cause: errWeights}
	}
	ex.weights = weights
	return nil
}

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
	// Only the forward filter decides about a second attempt.
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

// cacheSalt separates the cached prefixes of organisations on engines.
func cacheSalt(organisation string) string {
	sum := sha256.Sum256([]byte("organisation:" + organisation))
	return hex.EncodeToString(sum[:8])
}

// hopHeaders concern one connection only, or must not reach a target. The
// transport takes Idempotency-Key as leave to resend a request by itself.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Proxy-Connection": true,
	"Idempotency-Key": true, "X-Idempotency-Key": true, "Content-Length": true, "Accept-Encoding": true,
	engine.HeaderRequestID: true, engine.HeaderPriority: true, engine.HeaderCacheSalt: true,
	engine.HeaderResumeAfter: true,
}

func copyRequestHeader(dst, src http.Header) {
	listed := connectionHeaders(src)
	for name, values := range src {
		if hopHeaders[name] || listed[name] {
			continue
		}
		dst[name] = append([]string(nil), values...)
	}
}

func connectionHeaders(h http.Header) map[string]bool {
	listed := make(map[string]bool)
	for _, value := range h.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			listed[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return listed
}

// noteUsage reads the usage that a target reports in its header.
func noteUsage(ex *Exchange, h http.Header) {
	ex.Usage.PromptTokens, _ = strconv.Atoi(h.Get(engine.HeaderPrompt))
	ex.Usage.CachedTokens, _ = strconv.Atoi(h.Get(engine.HeaderCached))
}
