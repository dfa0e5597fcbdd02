package callerconn

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/memlimit"
)

const (
	// initialBodyBytes is the first size of the buffer of a body, and bodyGrowth the factor
	// by which it grows.
	initialBodyBytes = 16 << 10
	bodyGrowth       = 4
)

// ErrBodyTooLarge means that a body is larger than the limit.
var ErrBodyTooLarge = errors.New("the body is larger than the limit")

// Body is the body of a request. Its memory is held, and the connection stays open, until Release.
type Body struct {
	Bytes   []byte
	limiter *Limiter
	receipt *receipt
	unread  memlimit.Reservation // for what the kernel holds beside it
	conn    *Conn                // whose request runs until Release; nil if it is not known
}

// ReadBody reads the body of a request. The buffer grows as bytes arrive: a length that a
// caller states takes no memory beyond a small reservation. copies is the number of copies of the whole body for which
// memory is held. Errors are ErrBodyTooLarge, ErrOutOfMemory, ErrStalled and those of the reader. After an
// error the memory is released.
func (l *Limiter) ReadBody(w http.ResponseWriter, r *http.Request, limit, copies int64) (*Body, error) {
	b := &Body{limiter: l}
	if r.Body == nil || r.Body == http.NoBody {
		return b, nil
	}
	if r.ContentLength > limit {
		return nil, ErrBodyTooLarge
	}
	conn := fromContext(r.Context())
	if l != nil {
		controller := http.NewResponseController(w)
		var raw net.Conn
		if conn != nil && r.ProtoMajor == 1 {
			raw = conn.Conn
			b.unread = conn.allowBody(r.ContentLength)
		}
		b.receipt = l.newReceipt(causeBody, raw, func() { _ = controller.SetReadDeadline(time.Unix(1, 0)) })
	}
	err := b.read(r.Body, conn, r.ContentLength, limit)
	if l != nil && l.finish(b.receipt) {
		err = ErrStalled
	}
	if l != nil && err == nil {
		err = l.grow(b.receipt, copies*int64(len(b.Bytes))-int64(cap(b.Bytes)))
	}
	if err != nil {
		b.Release()
		return nil, err
	}
	if conn != nil {
		conn.startRunning()
		b.conn = conn
	}
	return b, nil
}

// read fills Bytes. A negative length is not stated.
func (b *Body) read(from io.Reader, conn *Conn, length, limit int64) error {
	largest := limit + 1
	if length >= 0 {
		largest = length
	}
	for {
		if int64(len(b.Bytes)) == largest {
			if length < 0 {
				return ErrBodyTooLarge
			}
			return nil
		}
		if len(b.Bytes) == cap(b.Bytes) {
			if err := b.enlarge(length, largest); err != nil {
				return err
			}
		}
		n, err := from.Read(b.Bytes[len(b.Bytes):cap(b.Bytes)])
		b.Bytes = b.Bytes[:len(b.Bytes)+n]
		if n > 0 && b.limiter != nil && b.limiter.recordReceived(b.receipt, n) && conn != nil {
			conn.setState(stateReceiving)
		}
		if errors.Is(err, io.EOF) && (length < 0 || int64(len(b.Bytes)) == length) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// enlarge replaces the buffer by a larger one. A stated length that is small is reserved at once:
// two buffers beside each other would not be small.
func (b *Body) enlarge(length, largest int64) error {
	before := int64(cap(b.Bytes))
	size := min(max(initialBodyBytes, bodyGrowth*before), largest)
	if before == 0 && length <= memlimit.SmallBytes {
		size = max(size, length)
	}
	if size+initialBodyBytes > largest {
		size = largest // no further step for the byte that is over the limit
	}
	if b.limiter != nil {
		if err := b.limiter.grow(b.receipt, size); err != nil {
			return err
		}
	}
	b.Bytes = append(make([]byte, 0, size), b.Bytes...)
	if b.limiter != nil {
		b.limiter.shrink(b.receipt, before)
	}
	return nil
}

// Release returns the memory of the body.
func (b *Body) Release() {
	if b.receipt != nil {
		b.receipt.reservation.Release()
	}
	b.unread.Release()
	if b.conn != nil {
		b.conn.endRunning()
		b.conn = nil
	}
}
