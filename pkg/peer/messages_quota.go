package peer

import (
	"context"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/quota"
)

// quotaTimeout bounds an exchange of quota tokens. It is short because a request of
// a caller waits for it.
const quotaTimeout = 300 * time.Millisecond

// QuotaRequest borrows tokens of an organisation from a peer.
var QuotaRequest = &Message[quota.Request, quota.Grant]{Request: "quota.request", Response: "quota.grant", Timeout: quotaTimeout}

// QuotaReturn gives unspent tokens back to the lender.
var QuotaReturn = &Message[quota.Return, EmptyBody]{Request: "quota.return", Response: "quota.return.answer", Timeout: quotaTimeout}

// QuotaAssignBody holds what an instance gives up, by organisation: tokens and the
// rate of its refill, in tokens per second, for a duration from now on.
type QuotaAssignBody struct {
	Instance       string             `cbor:"instance"`
	Tokens         map[string]float64 `cbor:"tokens"`
	Rates          map[string]float64 `cbor:"rates"`
	DurationMillis int64              `cbor:"duration_ms"`
}

// QuotaAssign hands refill and surplus tokens to their broker. The sender has given
// them up already; if the message is lost, so are they. It replaces the refill that
// the instance assigned to the broker before.
var QuotaAssign = &Message[QuotaAssignBody, EmptyBody]{Request: "quota.assign", Response: "quota.assign.answer", Timeout: quotaTimeout}

// QuotaClient sends quota requests and returns to other instances. It implements
// quota.Transferer.
type QuotaClient struct {
	Caller Caller
}

// Request implements quota.Transferer.
func (t *QuotaClient) Request(ctx context.Context, address string, request quota.Request) (quota.Grant, error) {
	return QuotaRequest.Call(ctx, t.Caller, address, request)
}

// Return implements quota.Transferer.
func (t *QuotaClient) Return(ctx context.Context, address string, ret quota.Return) error {
	_, err := QuotaReturn.Call(ctx, t.Caller, address, ret)
	return err
}
