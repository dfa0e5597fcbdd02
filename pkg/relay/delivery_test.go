package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/delivery"
)

// Callers who leave, refusals and requests that were not sent counted as failures of a
// software version, or failures of the target did not.
func TestDeliveryOutcome(t *testing.T) {
	left, leave := context.WithCancel(context.Background())
	leave()
	late, end := context.WithDeadlineCause(context.Background(), time.Now().Add(-time.Second), context.DeadlineExceeded)
	defer end()
	present := context.Background()
	respond := func(status int) *failure {
		return &failure{requestSent: true, mayHaveRun: true, canTryOther: true, response: &bufferedResponse{status: status}}
	}
	broken := &failure{requestSent: true, mayHaveRun: true, canTryOther: true, cause: io.ErrUnexpectedEOF}
	cases := []struct {
		name   string
		ctx    context.Context
		status int
		last   *failure
		want   delivery.Outcome
	}{
		{"whole answer", present, http.StatusOK, nil, delivery.OutcomeAnswered},
		{"failure that was sent on", present, http.StatusInternalServerError, nil, delivery.OutcomeFailed},
		{"failure of the target", present, 0, respond(http.StatusInternalServerError), delivery.OutcomeFailed},
		{"answer of the target at the deadline", present, 0, respond(http.StatusGatewayTimeout), delivery.OutcomeTimedOut},
		{"no answer at the deadline", late, 0, broken, delivery.OutcomeTimedOut},
		{"broken answer", present, 0, broken, delivery.OutcomeBroken},
		{"the caller left", left, 0, broken, delivery.OutcomeNone},
		{"the target refused it", present, 0, &failure{requestSent: true, canTryOther: true}, delivery.OutcomeNone},
		{"no connection", present, 0, &failure{canTryOther: true, cause: errors.New("refused")}, delivery.OutcomeNone},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			request, err := http.NewRequestWithContext(c.ctx, http.MethodGet, "/", nil)
			assert.NilError(t, err)
			assert.Equal(t, deliveryOutcome(&Exchange{Request: request, Status: c.status}, c.last), c.want)
		})
	}
}
