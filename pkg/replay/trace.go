// Package replay generates traces of prompts and replays them in one process
// over the decision packages, to compare policies of target choice. It models
// engines only as far as the decisions depend on them; it is not a simulation
// of a cluster.
package replay

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"sort"
	"time"
	_ "time/tzdata" // the clock change must not depend on the machine

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// TraceFormat names the trace format. A trace is a file of JSON lines. The first is
// a Header; each other line is a Record, in order of at_ms.
const TraceFormat = "lacewingwheel-trace/1"

// TraceHeader is the first line of a trace.
type TraceHeader struct {
	Format        string         `json:"format"`
	Shape         string         `json:"shape"`
	Seed          uint64         `json:"seed"`
	Organisations []Organisation `json:"organisations"`
}

// Organisation has a rate in prompt and output tokens per second and a burst.
type Organisation struct {
	Name  string  `json:"name"`
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
}

// TraceRecord is a request or, if DownMS is set, the restart of an engine.
type TraceRecord struct {
	AtMS         int64         `json:"at_ms"` // Unix time in milliseconds
	Organisation string        `json:"organisation,omitempty"`
	Router       int           `json:"router,omitempty"` // instance that the load balancer picked
	PrefixLevels []PrefixLevel `json:"levels,omitempty"` // shared prefixes, outermost first
	TailTokens   int           `json:"tail_tokens,omitempty"`
	OutputTokens int           `json:"output_tokens,omitempty"`
	Engine       int           `json:"engine,omitempty"`
	DownMS       int64         `json:"down_ms,omitempty"` // the engine returns with an empty cache after this time
}

// PrefixLevel is one level of nested shared prefixes. Levels with the same id under
// the same outer levels start with the same pieces.
type PrefixLevel struct {
	ID     uint64 `json:"id"`
	Pieces int    `json:"pieces"`
}

// Trace is a whole trace.
type Trace struct {
	TraceHeader
	Records []TraceRecord
}

// digests chains the pieces of a request, salted with its organisation.
func (r *TraceRecord) digests() []uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(r.Organisation)
	var out []uint64
	for _, level := range r.PrefixLevels {
		for piece := range level.Pieces {
			var buf [16]byte
			binary.LittleEndian.PutUint64(buf[:8], level.ID)
			binary.LittleEndian.PutUint64(buf[8:], uint64(piece))
			_, _ = d.Write(buf[:])
			out = append(out, d.Sum64())
		}
	}
	return out
}

func (r *TraceRecord) promptTokens() int {
	tokens := r.TailTokens
	for _, level := range r.PrefixLevels {
		tokens += level.Pieces * pieceTokens
	}
	return tokens
}

// Deployment is a deployment.
type Deployment struct {
	Name     string
	Engines  int
	Zones    int
	ZoneCost time.Duration
	PeakRate float64 // requests/s at the daily peak, without the excess of one organisation
}

// Deployments are the deployments of the design page.
var Deployments = map[string]Deployment{
	"coop":     {Name: "coop", Engines: 18, Zones: 4, ZoneCost: 500 * time.Microsecond, PeakRate: 72},
	"pumpvakt": {Name: "pumpvakt", Engines: 12, Zones: 3, ZoneCost: 900 * time.Microsecond, PeakRate: 48},
}

const (
	// RouterCount is the number of router instances.
	RouterCount = 8
	pieceTokens = 1000

	documentsPerOrganisation = 60
	burstingOrganisation     = 1 // sends burstFactor times its rate in the middle of each window
	burstFactor              = 4
	peakHour                 = 19 // local time
	timeZone                 = "Europe/Stockholm"
	windowSeconds            = 180
)

// organisationShares are the parts of the traffic: a few organisations are large.
var organisationShares = [...]float64{0.4, 0.12, 0.28, 0.12, 0.08}

// tokensPerRequest is the mean of prompt and output, from which rates are set.
const tokensPerRequest = 12_000

// GenerateTrace makes a trace of the days before and after the clocks change. Each
// day has one window at each of four hours (UTC) around the peak, so the peak
// and the hot documents fall into another window on the second day.
func GenerateTrace(shape Deployment, seed uint64) *Trace {
	g := &generator{shape: shape, rng: rand.New(rand.NewPCG(seed, 1))}
	location, err := time.LoadLocation(timeZone)
	if err != nil {
		panic("replay: " + timeZone + " is not in the embedded time zones: " + err.Error())
	}
	g.location = location
	g.trace.TraceHeader = TraceHeader{Format: TraceFormat, Shape: shape.Name, Seed: seed}
	for i, share := range organisationShares {
		rate := share * shape.PeakRate * tokensPerRequest * 1.2 // headroom for chance
		g.trace.Organisations = append(g.trace.Organisations, Organisation{
			Name: fmt.Sprint("organisation-", i), Rate: rate, Burst: 10 * rate,
		})
	}
	for day := 28; day <= 29; day++ { // clocks change on 29 March 2026
		for hour := 15; hour <= 18; hour++ {
			g.window(time.Date(2026, 3, day, hour, 0, 0, 0, time.UTC))
		}
	}
	sort.SliceStable(g.trace.Records, func(i, j int) bool { return g.trace.Records[i].AtMS < g.trace.Records[j].AtMS })
	return &g.trace
}

type generator struct {
	shape    Deployment
	rng      *rand.Rand
	location *time.Location
	trace    Trace
}

// window generates the sessions that start in one window.
func (g *generator) window(start time.Time) {
	local := start.In(g.location).Hour()
	distance := float64(local-peakHour) / 1.5
	level := 0.25 + 0.75*math.Exp(-distance*distance)
	for org, share := range organisationShares {
		rate := g.shape.PeakRate * level * share / meanTurns // sessions per second
		for at := g.gap(rate); at < windowSeconds; at += g.gap(rate) {
			g.session(start, at, org, local)
		}
		if org != burstingOrganisation {
			continue
		}
		excess := rate * (burstFactor - 1)
		for at := windowSeconds/3 + g.gap(excess); at < 2*windowSeconds/3; at += g.gap(excess) {
			g.session(start, at, org, local)
		}
	}
	g.trace.Records = append(g.trace.Records, TraceRecord{
		AtMS: start.UnixMilli() + g.rng.Int64N(windowSeconds*1000), Engine: g.rng.IntN(g.shape.Engines), DownMS: 5000,
	})
}

func (g *generator) gap(rate float64) float64 { return g.rng.ExpFloat64() / rate }

const (
	meanTurns    = 3.0
	meanThinking = 4.0 // seconds between the turns of a session
)

// session generates the turns of a conversation about one document.
func (g *generator) session(start time.Time, at float64, org, local int) {
	document := g.document(org, local)
	shape := rand.New(rand.NewPCG(document, 2))
	system := PrefixLevel{ID: uint64(org), Pieces: 2 + org%3}
	// The kind of task has a shared instruction between system prompt and document.
	task := PrefixLevel{ID: 1000 + document%4, Pieces: 1 + int(document%2)}
	text := PrefixLevel{ID: document, Pieces: 2 + shape.IntN(8)}
	session := PrefixLevel{ID: g.rng.Uint64()}
	history := 0
	for {
		tail := 100 + g.rng.IntN(800)
		output := 50 + g.rng.IntN(250)
		session.Pieces = history / pieceTokens
		levels := []PrefixLevel{system, task, text}
		if session.Pieces > 0 {
			levels = append(levels, session)
		}
		g.trace.Records = append(g.trace.Records, TraceRecord{
			AtMS:         start.UnixMilli() + int64(at*1000),
			Organisation: g.trace.Organisations[org].Name, Router: g.rng.IntN(RouterCount),
			PrefixLevels: levels, TailTokens: history%pieceTokens + tail, OutputTokens: output,
		})
		if g.rng.Float64() < 1/meanTurns {
			return
		}
		history += tail + output
		at += 1 + g.gap(1/(meanThinking-1))
	}
}

// document draws by Zipf's law. Which documents are hot depends on the local
// hour, so the hot set moves with the clocks.
func (g *generator) document(org, local int) uint64 {
	rank := rand.NewZipf(g.rng, 1.1, 1, documentsPerOrganisation-1).Uint64()
	order := rand.New(rand.NewPCG(uint64(org), uint64(local))).Perm(documentsPerOrganisation)
	return uint64(org)<<32 | uint64(order[rank]+1)<<8
}

// Write writes a trace in its format.
func (t *Trace) Write(w io.Writer) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	if err := encoder.Encode(t.TraceHeader); err != nil {
		return err
	}
	for i := range t.Records {
		if err := encoder.Encode(&t.Records[i]); err != nil {
			return err
		}
	}
	return buffered.Flush()
}

// ReadTrace reads a trace.
func ReadTrace(r io.Reader) (*Trace, error) {
	decoder := json.NewDecoder(r)
	t := &Trace{}
	if err := decoder.Decode(&t.TraceHeader); err != nil {
		return nil, eris.Wrap(err, "trace header")
	}
	if t.Format != TraceFormat {
		return nil, fmt.Errorf("trace format is %q, want %q; write the trace again with this version", t.Format, TraceFormat)
	}
	if _, ok := Deployments[t.Shape]; !ok {
		return nil, fmt.Errorf("trace is for the unknown shape %q", t.Shape)
	}
	known := make(map[string]bool)
	for _, org := range t.Organisations {
		known[org.Name] = true
	}
	for line := 2; ; line++ {
		var record TraceRecord
		err := decoder.Decode(&record)
		if err == io.EOF {
			return t, nil
		}
		if err != nil {
			return nil, eris.Wrapf(err, "trace line %d", line)
		}
		restart := record.DownMS > 0
		switch {
		case !restart && !known[record.Organisation]:
			return nil, fmt.Errorf("trace line %d: organisation %q is not in the header", line, record.Organisation)
		case record.Router < 0 || record.Router >= RouterCount || record.Engine < 0 || record.Engine >= Deployments[t.Shape].Engines:
			return nil, fmt.Errorf("trace line %d: router or engine out of range", line)
		case len(t.Records) > 0 && record.AtMS < t.Records[len(t.Records)-1].AtMS:
			return nil, fmt.Errorf("trace line %d: at_ms goes back", line)
		}
		t.Records = append(t.Records, record)
	}
}
