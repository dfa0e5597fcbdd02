package admission

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

const (
	// usagePeriod is the time constant with which usage fades. It covers some rounds
	// of messages between instances and some requests of each organisation.
	usagePeriod = 3 * time.Second
	// usageTolerance is the factor by which an organisation's part of the usage may
	// exceed its part of the rates before it counts as over its share: estimates
	// differ between instances.
	usageTolerance = 1.2
	// minUsagePart is the part of all usage below which an organisation does not ask for
	// its share, so that the others may use it.
	minUsagePart = 0.01
	// shareInterval is the time between two computations of shares.
	shareInterval = 100 * time.Millisecond
	// minSum is the sum below which an entry is forgotten.
	minSum = 0.01
	// maxSentUsages bounds the organisations in a message, to keep it in one packet. What
	// would be given of the others is dropped: the weight that is given counts for them too.
	maxSentUsages = 48
	// maxUsages bounds the organisations whose usage is kept.
	maxUsages = 2048
)

// Usage estimates how many tokens each organisation uses in the whole fleet, and tells
// which ones are over their share. Instances average their sums by giving a part of
// them and of their weight to others (push-sum): no instance knows the others' sums,
// and a lost message changes sum and weight alike. An instance that gets no messages
// returns to its own figures. Load pattern: one to three organisations send several
// times their usual while the targets are full. It is safe for concurrent use.
type Usage struct {
	// InstanceCount returns the number of instances; nil means one. An instance of several
	// that receives no messages of the others knows only the few callers that reach it, and takes
	// nobody to be over its share.
	InstanceCount func() int

	mu         sync.Mutex
	receivedAt time.Time          // of the last message
	sums       map[uint64]float64 // tokens that fade with usagePeriod, by hash of the organisation
	weight     float64            // of this instance in the average; 1 without messages
	fadedAt    time.Time
	arrivals   float64            // requests that reached this instance; fades
	rates      map[uint64]float64 // configured, by hash of the organisation
	names      map[uint64]string
	over       map[uint64]bool // organisations over their share, as of sharesAt
	sharesAt   time.Time
}

// NewUsage returns an empty estimate.
func NewUsage() *Usage {
	return &Usage{sums: make(map[uint64]float64), weight: 1}
}

// SetRates sets the rates of the organisations, by name, in proportion to which they share
// the targets. Organisations without a rate have the mean of the others.
func (u *Usage) SetRates(rates map[string]float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rates, u.names = make(map[uint64]float64, len(rates)), make(map[uint64]string, len(rates))
	total, known := 0.0, 0
	for _, rate := range rates {
		if rate > 0 {
			total, known = total+rate, known+1
		}
	}
	mean := 1.0
	if known > 0 {
		mean = total / float64(known)
	}
	for name, rate := range rates {
		if rate <= 0 {
			rate = mean
		}
		u.rates[xxhash.Sum64String(name)], u.names[xxhash.Sum64String(name)] = rate, name
	}
}

// Record adds the tokens of a request that is sent to a target.
func (u *Usage) Record(organisation string, tokens int64, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fade(now)
	u.add(xxhash.Sum64String(organisation), float64(tokens))
}

// TakeBack removes the tokens of a recorded request that has not run, as far as they have not
// been given to other instances.
func (u *Usage) TakeBack(organisation string, tokens int64, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fade(now)
	id := xxhash.Sum64String(organisation)
	if sum, known := u.sums[id]; known {
		u.sums[id] = max(0, sum-float64(tokens))
	}
}

// arrivalsID is the key of all requests in the sums. No organisation has it: it is the
// hash of no name.
const arrivalsID = 0

// RecordArrival adds a request that reached this instance.
func (u *Usage) RecordArrival(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fade(now)
	u.arrivals++
	u.add(arrivalsID, 1)
}

// maxDemand bounds how many times the mean demand of an instance is assumed to reach
// this one, in either direction, as the mean is an estimate.
const maxDemand = 4

// Demand returns how many times the mean demand of an instance reaches this one.
func (u *Usage) Demand(now time.Time) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fade(now)
	mean := u.sums[arrivalsID] / u.weight
	if mean <= 0 || u.arrivals <= 0 {
		return 1
	}
	return min(max(u.arrivals/mean, 1.0/maxDemand), maxDemand)
}

func (u *Usage) add(id uint64, tokens float64) {
	if _, known := u.sums[id]; known || len(u.sums) < maxUsages {
		u.sums[id] += tokens
	}
}

// fade lets sums fade since the last call, and the weight return to one.
func (u *Usage) fade(now time.Time) {
	since := now.Sub(u.fadedAt)
	if u.fadedAt.IsZero() {
		since = 0
	}
	if since < 0 {
		return
	}
	u.fadedAt = now
	factor := math.Exp(-float64(since) / float64(usagePeriod))
	u.weight = 1 - (1-u.weight)*factor
	u.arrivals *= factor
	for id, sum := range u.sums {
		if sum *= factor; sum < minSum {
			delete(u.sums, id)
		} else {
			u.sums[id] = sum
		}
	}
}

// IsOverShare reports whether an organisation uses more than its share while others ask
// for theirs.
func (u *Usage) IsOverShare(organisation string, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.InstanceCount != nil && u.InstanceCount() > 1 && now.Sub(u.receivedAt) > usagePeriod {
		return false
	}
	if u.over == nil || now.Sub(u.sharesAt) >= shareInterval {
		u.fade(now)
		u.over, u.sharesAt = u.findOver(), now
	}
	return u.over[xxhash.Sum64String(organisation)]
}

// findOver returns the organisations over their share.
func (u *Usage) findOver() map[uint64]bool {
	total, rates := 0.0, 0.0
	for id := range u.rates {
		total += u.sums[id]
	}
	for id, rate := range u.rates {
		if u.sums[id] > minUsagePart*total {
			rates += rate
		}
	}
	over := make(map[uint64]bool)
	for id, rate := range u.rates {
		if u.sums[id] > minUsagePart*total && u.sums[id]/total > usageTolerance*rate/rates {
			over[id] = true
		}
	}
	return over
}

// TokensPerSecond returns the mean usage of each organisation at an instance, over the
// fleet, in tokens per second.
func (u *Usage) TokensPerSecond(now time.Time) map[string]float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fade(now)
	usage := make(map[string]float64)
	for id, sum := range u.sums {
		if name := u.names[id]; name != "" {
			usage[name] = sum / u.weight / usagePeriod.Seconds()
		}
	}
	return usage
}

// usageMessage is the part of the sums and of the weight that is given to one instance.
type usageMessage struct {
	_      struct{} `cbor:",toarray"`
	Weight float64
	IDs    []uint64
	Sums   []float32
}

// Give splits off equal parts of the sums and of the weight for a number of other
// instances, keeps one, and returns the encoded part of each. It returns nil as long as no
// usage is known.
func (u *Usage) Give(receivers int, now time.Time) []byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fade(now)
	if len(u.sums) == 0 {
		return nil
	}
	part := 1 / float64(receivers+1)
	ids := make([]uint64, 0, len(u.sums))
	for id := range u.sums {
		ids = append(ids, id)
	}
	// The arrivals come first, then the organisations with the most tokens.
	slices.SortFunc(ids, func(a, b uint64) int {
		return cmp.Or(compareIsArrivals(a, b), cmp.Compare(u.sums[b], u.sums[a]), cmp.Compare(a, b))
	})
	message := usageMessage{Weight: u.weight * part}
	for n, id := range ids {
		if n < maxSentUsages {
			message.IDs = append(message.IDs, id)
			message.Sums = append(message.Sums, float32(u.sums[id]*part))
		}
		u.sums[id] *= part
	}
	u.weight *= part
	payload, err := cbor.Marshal(message)
	if err != nil {
		return nil // the type has no value that cannot be encoded
	}
	return payload
}

func compareIsArrivals(a, b uint64) int {
	switch {
	case a == b:
		return 0
	case a == arrivalsID:
		return -1
	case b == arrivalsID:
		return 1
	}
	return 0
}

// Accept adds what another instance gave. Messages are not authenticated: values that
// no instance can have are ignored.
func (u *Usage) Accept(payload []byte, now time.Time) {
	var message usageMessage
	if cbor.Unmarshal(payload, &message) != nil || len(message.IDs) != len(message.Sums) || !(message.Weight >= 0 && message.Weight <= 1) {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fade(now)
	for n, id := range message.IDs {
		if sum := float64(message.Sums[n]); sum > 0 && !math.IsInf(sum, 1) {
			u.add(id, sum)
		}
	}
	u.weight += message.Weight
	u.receivedAt = now
}
