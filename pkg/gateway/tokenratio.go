package gateway

import (
	"math"
	"sync"
	"sync/atomic"

	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

const (
	// ratioSmoothing is the weight of the latest prompt in the moving average.
	ratioSmoothing = 0.05
	// minRatioTokens is the shortest prompt that says something about the ratio.
	minRatioTokens = 50
	// maxRatioFactor bounds the correction of the table's ratio, against a target
	// that reports nonsense.
	maxRatioFactor = 4
)

// tokenRatios estimates the tokens of prompts from their bytes. Each pool starts
// with the ratio of its table, which the usage that targets report corrects.
type tokenRatios struct {
	pools sync.Map // name to *atomic.Uint64, the bits of tokens per byte
}

// estimate returns the expected tokens of a prompt.
func (r *tokenRatios) estimate(pool *tables.Pool, promptBytes int) int64 {
	return int64(math.Ceil(float64(promptBytes) * r.tokensPerByte(pool)))
}

func (r *tokenRatios) tokensPerByte(pool *tables.Pool) float64 {
	ofTable := 1 / pool.BytesPerToken
	learned, ok := r.pools.Load(pool.Name)
	if !ok {
		return ofTable
	}
	ratio := math.Float64frombits(learned.(*atomic.Uint64).Load())
	return min(max(ratio, ofTable/maxRatioFactor), ofTable*maxRatioFactor)
}

// observe corrects the ratio by a prompt whose tokens a target has reported.
// Of two observations at the same time one may be lost, which does no harm.
func (r *tokenRatios) observe(pool *tables.Pool, promptBytes, promptTokens int) {
	if promptTokens < minRatioTokens || promptBytes == 0 {
		return
	}
	ratio := r.tokensPerByte(pool)
	ratio += ratioSmoothing * (float64(promptTokens)/float64(promptBytes) - ratio)
	found, _ := r.pools.LoadOrStore(pool.Name, new(atomic.Uint64))
	found.(*atomic.Uint64).Store(math.Float64bits(ratio))
}
