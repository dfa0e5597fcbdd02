package relay

import (
	"testing"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/placement"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// After new weights every engine computed the first part of all prompts again, though
// the store had it: nothing was fetched unless the store was known to have the whole
// prompt.
func TestStoredStartOfAPromptIsFetched(t *testing.T) {
	prompt := []placement.Part{{ID: "root", Tokens: 2500}, {ID: "subject", Tokens: 3800}}
	short := []placement.Part{{ID: "root", Tokens: 120}, {ID: "subject", Tokens: 80}}
	other := &target.Target{}
	for _, c := range []struct {
		name        string
		shared      []placement.Part
		stored      int
		choice      placement.Choice
		fetch, save bool
	}{
		{"home, start stored", prompt, 1, placement.Choice{IsHome: true, CacheSource: other}, true, true},
		{"home that restarted, the second engine has the prompt", prompt, 0, placement.Choice{IsHome: true, CacheSource: other}, false, true},
		{"home, all stored", prompt, 2, placement.Choice{IsHome: true, CacheSource: other}, true, false},
		{"first engine with these weights, start stored", prompt, 1, placement.Choice{IsHome: true}, true, true},
		{"away, the home has more than the store", prompt, 1, placement.Choice{CacheSource: other, SourceIsHome: true}, false, true},
		{"about to load, the former home has more than the store", prompt, 1, placement.Choice{IsHome: true, CacheSource: other, SourceIsHome: true}, false, true},
		{"away, all stored", prompt, 2, placement.Choice{CacheSource: other, SourceIsHome: true}, false, false},
		{"short start", short, 1, placement.Choice{IsHome: true}, false, false},
	} {
		fetch, save := useStore(c.shared, c.stored, c.choice)
		assert.Equal(t, fetch, c.fetch, c.name)
		assert.Equal(t, save, c.save, c.name)
	}
}
