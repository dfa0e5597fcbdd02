package claim

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/standin"
)

// Conditions of BenchmarkClaims.
const (
	benchInstances = 8
	benchCallTime  = 3 * time.Millisecond  // duration of a call to the object store
	benchRunTime   = 20 * time.Millisecond // duration of a request, between claim and outcome
	benchLoadTime  = 4 * time.Second       // duration of one measurement
	benchSeed      = 1
)

// slowStore delays each call by benchCallTime and counts reads and writes.
type slowStore struct {
	objectstore.Store
	reads, writes atomic.Int64
}

func (s *slowStore) write() { s.writes.Add(1); time.Sleep(benchCallTime) }

func (s *slowStore) Get(ctx context.Context, kind, name string) (objectstore.Object, error) {
	s.reads.Add(1)
	time.Sleep(benchCallTime)
	return s.Store.Get(ctx, kind, name)
}

func (s *slowStore) Create(ctx context.Context, kind, name string, value []byte) (objectstore.Object, error) {
	s.write()
	return s.Store.Create(ctx, kind, name, value)
}

func (s *slowStore) Update(ctx context.Context, kind, name string, value []byte, version uint64) (objectstore.Object, error) {
	s.write()
	return s.Store.Update(ctx, kind, name, value, version)
}

func (s *slowStore) Delete(ctx context.Context, kind, name string, version uint64) error {
	s.write()
	return s.Store.Delete(ctx, kind, name, version)
}

// groupedClaims is the alternative that BenchmarkClaims compares with: one
// object per shard holds many claims, and an instance writes all pending claims
// of a shard in one update.
type groupedClaims struct {
	store  objectstore.Store
	linger time.Duration
	resets atomic.Int64 // times that an object reached the largest size and was emptied
	shards []chan groupedWrite
}

type groupedWrite struct {
	name   string
	record record
	done   chan struct{}
}

func newGroupedClaims(ctx context.Context, store objectstore.Store, shards int, linger time.Duration) *groupedClaims {
	g := &groupedClaims{store: store, linger: linger, shards: make([]chan groupedWrite, shards)}
	for i := range g.shards {
		g.shards[i] = make(chan groupedWrite, 4096)
		go g.runShard(ctx, i)
	}
	return g
}

// put writes a claim or its outcome and returns when it is stored.
func (g *groupedClaims) put(key Digest, r record) {
	w := groupedWrite{name: key.String(), record: r, done: make(chan struct{})}
	g.shards[int(binary.BigEndian.Uint16(key[:2]))%len(g.shards)] <- w
	<-w.done
}

func (g *groupedClaims) runShard(ctx context.Context, shard int) {
	claims, version := map[string]record{}, uint64(0)
	for {
		var batch []groupedWrite
		select {
		case <-ctx.Done():
			return
		case w := <-g.shards[shard]:
			batch = append(batch, w)
		}
		time.Sleep(g.linger)
		for len(g.shards[shard]) > 0 {
			batch = append(batch, <-g.shards[shard])
		}
		claims, version = g.flush(shard, claims, version, batch)
	}
}

// flush writes a batch. On a conflict it reads what other instances wrote, adds
// the batch and tries again.
func (g *groupedClaims) flush(shard int, claims map[string]record, version uint64, batch []groupedWrite) (map[string]record, uint64) {
	name := fmt.Sprint(shard)
	for {
		for _, w := range batch {
			claims[w.name] = w.record
		}
		value, err := json.Marshal(claims)
		if err != nil {
			panic(err)
		}
		var object objectstore.Object
		if version == 0 {
			object, err = g.store.Create(context.Background(), "shard", name, value)
		} else {
			object, err = g.store.Update(context.Background(), "shard", name, value, version)
		}
		if err == nil {
			for _, w := range batch {
				close(w.done)
			}
			return claims, object.Version
		}
		if objectstore.IsKind(err, objectstore.KindTooLarge) {
			// Empties the object, as if its claims were archived, so that the
			// benchmark can continue.
			g.resets.Add(1)
			claims = map[string]record{}
			continue
		}
		object, err = g.store.Get(context.Background(), "shard", name)
		if err != nil {
			panic(err)
		}
		claims = map[string]record{}
		if err := json.Unmarshal(object.Value, &claims); err != nil {
			panic(err)
		}
		version = object.Version
	}
}

// load makes claims at a total rate per second, spread over the instances, with
// exponentially distributed gaps. claim returns the function that stores the
// outcome. Latency is counted from the planned time of a claim. load returns the
// latencies in microseconds and the number of claims.
func load(rate int, claim func(instance int, key Digest) (finish func())) (*hdrhistogram.Histogram, int) {
	random := rand.New(rand.NewPCG(benchSeed, uint64(rate)))
	latency := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	var group sync.WaitGroup
	start, at, n := time.Now(), time.Duration(0), 0
	for ; at < benchLoadTime; n++ {
		planned, instance := start.Add(at), n%benchInstances
		key := DigestKey("bench", fmt.Sprint(rate, n))
		time.Sleep(time.Until(planned))
		group.Go(func() {
			finish := claim(instance, key)
			waited := time.Since(planned)
			mu.Lock()
			_ = latency.RecordValue(waited.Microseconds())
			mu.Unlock()
			time.Sleep(benchRunTime)
			finish()
		})
		at += time.Duration(random.ExpFloat64() / float64(rate) * float64(time.Second))
	}
	group.Wait()
	return latency, n
}

func report(b *testing.B, store *slowStore, latency *hdrhistogram.Histogram, claims int) {
	ms := func(quantile float64) float64 { return float64(latency.ValueAtQuantile(quantile)) / 1000 }
	b.ReportMetric(float64(store.writes.Load())/float64(claims), "writes/claim")
	b.ReportMetric(float64(store.reads.Load())/float64(claims), "reads/claim")
	b.ReportMetric(float64(store.writes.Load())/benchLoadTime.Seconds(), "writes/s")
	b.ReportMetric(ms(50), "p50-ms")
	b.ReportMetric(ms(99), "p99-ms")
	b.ReportMetric(0, "ns/op")
}

var (
	benchResponse = Response{Status: 200, Header: map[string][]string{"Content-Type": {"application/json"}}, Body: make([]byte, 200)}
	benchRates    = []int{50, 200, 600}
)

// BenchmarkClaims compares one object per claim, as Manager has it, with one
// object per shard of claims. Each claim is made and its outcome stored.
func BenchmarkClaims(b *testing.B) {
	for _, rate := range benchRates {
		b.Run(fmt.Sprintf("single/rate=%d", rate), func(b *testing.B) { benchSingle(b, rate) })
		for _, shards := range []int{1, 16, 512} {
			for _, linger := range []time.Duration{0, 25 * time.Millisecond} {
				if shards == 512 && linger > 0 {
					continue // an instance rarely has two pending claims in one shard
				}
				b.Run(fmt.Sprintf("grouped/shards=%d/linger=%v/rate=%d", shards, linger, rate), func(b *testing.B) {
					benchGrouped(b, rate, shards, linger)
				})
			}
		}
	}
}

func benchSingle(b *testing.B, rate int) {
	store := &slowStore{Store: standin.NewStore()}
	fake := clock.NewFake(time.Now())
	managers := make([]*Manager, benchInstances)
	for i := range managers {
		managers[i] = NewManager(Options{
			Store: store, Clock: fake, Log: hclog.NewNullLogger(), Instance: fmt.Sprint("instance-", i), Incarnation: "00000000-0000-0000-0000-000000000000",
		})
	}
	latency, claims := load(rate, func(instance int, key Digest) func() {
		v := managers[instance].Claim(bg, Request{Key: key, Deadline: fake.Now()})
		if v.Decision != DecisionRun {
			b.Error(v.Decision, v.Cause)
			return func() {}
		}
		return func() {
			if err := v.Claim.Complete(bg, &benchResponse); err != nil {
				b.Error(err)
			}
		}
	})
	report(b, store, latency, claims)
	b.ReportMetric(benchRemoval(b, store, managers[0], fake, claims), "removal-writes/claim")
}

// benchRemoval removes all claims after their retention and returns the number
// of writes per claim.
func benchRemoval(b *testing.B, store *slowStore, m *Manager, fake *clock.Fake, claims int) float64 {
	before := store.writes.Load()
	fake.Advance(2 * DefaultRetention)
	var group sync.WaitGroup
	for kind := range kindCount {
		group.Go(func() {
			if _, err := m.RemoveExpired(bg, kind); err != nil {
				b.Error(err)
			}
		})
	}
	group.Wait()
	return float64(store.writes.Load()-before) / float64(claims)
}

func benchGrouped(b *testing.B, rate, shards int, linger time.Duration) {
	store := &slowStore{Store: standin.NewStore()}
	ctx, cancel := context.WithCancel(bg)
	defer cancel()
	instances := make([]*groupedClaims, benchInstances)
	for i := range instances {
		instances[i] = newGroupedClaims(ctx, store, shards, linger)
	}
	latency, claims := load(rate, func(instance int, key Digest) func() {
		r := record{Nonce: key.String()[:36], Instance: "instance-0", State: StateClaimed, Request: key.String()}
		instances[instance].put(key, r)
		return func() {
			r.State, r.Response = StateDone, &benchResponse
			instances[instance].put(key, r)
		}
	})
	report(b, store, latency, claims)
	resets := int64(0)
	for _, g := range instances {
		resets += g.resets.Load()
	}
	b.ReportMetric(float64(resets), "full-shards")
	size, objects := 0, 0
	all, _, err := store.Store.List(bg, "shard")
	if err != nil {
		b.Fatal(err)
	}
	for _, object := range all {
		size += len(object.Value)
		objects++
	}
	if resets == 0 {
		b.ReportMetric(float64(size)/float64(claims), "bytes/claim")
	}
	b.ReportMetric(float64(size)/1024/float64(objects), "KB/shard")
}
