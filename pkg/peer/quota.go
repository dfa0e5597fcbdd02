package peer

import (
	"context"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/quota"
)

// quotaTimeout bounds the exchange of tokens. A request waits for it.
const quotaTimeout = 300 * time.Millisecond

// QuotaRequest asks a peer for tokens of an organisation.
var QuotaRequest = &Message[quota.Request, quota.Grant]{Request: "quota.request", Response: "quota.grant", Timeout: quotaTimeout}

// QuotaReturn gives tokens back that were not spent.
var QuotaReturn = &Message[quota.Return, EmptyBody]{Request: "quota.return", Response: "quota.return.answer", Timeout: quotaTimeout}

// QuotaDepositBody hands tokens to the broker of organisations, by organisation.
type QuotaDepositBody struct {
	Tokens map[string]float64 `cbor:"tokens"`
}

// QuotaDeposit hands tokens to a broker. The sender has given them up, whether
// they arrive or not.
var QuotaDeposit = &Message[QuotaDepositBody, EmptyBody]{Request: "quota.deposit", Response: "quota.deposit.answer", Timeout: quotaTimeout}

// QuotaTransfer carries transfers of tokens over a transport. It implements
// quota.Transferer.
type QuotaTransfer struct {
	Caller Caller
}

// Request implements quota.Transferer.
func (t *QuotaTransfer) Request(ctx context.Context, address string, request quota.Request) (quota.Grant, error) {
	return QuotaRequest.Call(ctx, t.Caller, address, request)
}

// Return implements quota.Transferer.
func (t *QuotaTransfer) Return(ctx context.Context, address string, ret quota.Return) error {
	_, err := QuotaReturn.Call(ctx, t.Caller, address, ret)
	return err
}
