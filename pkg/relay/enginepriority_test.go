package relay

import (
	"testing"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

// Short prompts must go before long ones of the same priority, and the priority
// of an organisation must take precedence over that of the route.
func TestEnginePriority(t *testing.T) {
	two := 2
	cases := []struct {
		name         string
		route        int
		organisation *tables.Organisation
		tokens, want int
	}{
		{"highest priority, short", 0, nil, 800, 1},
		{"highest priority, long", 0, nil, 9200, 2},
		{"second priority, short", 1, nil, 800, 3},
		{"organisation without a priority", 1, &tables.Organisation{}, 9200, 4},
		{"organisation with a priority", 0, &tables.Organisation{Priority: &two}, 9200, 6},
		{"above the range", 40, nil, 9200, 9},
		{"below the range", -1, nil, 10, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ex := &Exchange{Route: &tables.Route{Priority: c.route}, Organisation: c.organisation, Metadata: RequestMetadata{PromptTokens: c.tokens}}
			assert.Equal(t, enginePriority(ex), c.want)
		})
	}
}
