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
	// minRatioTokens is the length of the shortest prompt that is observed.
	minRatioTokens = 50
	// maxRatioFactor bounds the correction of the configured ratio, in case a
	// target reports wrong numbers.
	maxRatioFactor = 4
)

// tokenRatios estimates the tokens of prompts from their bytes. Each pool starts
// with its configured ratio, which is corrected by the usage that targets report.
// It is safe for concurrent use.
type tokenRatios struct {
	pools sync.Map // name to *atomic.Uint64, the bits of tokens per byte
}

// estimate returns the expected number of tokens of a prompt, rounded up.
func (r *tokenRatios) estimate(pool *tables.Pool, promptBytes int) int64 {
	return int64(math.Ceil(float64(promptBytes) * r.tokensPerByte(pool)))
}

// tokensPerByte returns the corrected ratio, within a factor of maxRatioFactor of
// the configured one.
func (r *tokenRatios) tokensPerByte(pool *tables.Pool) float64 {
	configured := 1 / pool.BytesPerToken
	learned, ok := r.pools.Load(pool.Name)
	if !ok {
		return configured
	}
	ratio := math.Float64frombits(learned.(*atomic.Uint64).Load())
	return min(max(ratio, configured/maxRatioFactor), configured*maxRatioFactor)
}

// observe updates the ratio of a pool with the reported tokens of a prompt. One
// of two concurrent observations may be lost, which is harmless.
func (r *tokenRatios) observe(pool *tables.Pool, promptBytes, promptTokens int) {
	if promptTokens < minRatioTokens || promptBytes == 0 {
		return
	}
	ratio := r.tokensPerByte(pool)
	ratio += ratioSmoothing * (float64(promptTokens)/float64(promptBytes) - ratio)
	found, _ := r.pools.LoadOrStore(pool.Name, new(atomic.Uint64))
	found.(*atomic.Uint64).Store(math.Float64bits(ratio))
}
