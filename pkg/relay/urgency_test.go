package relay

import (
	"testing"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

// Guards against short requests that wait behind long ones of the same priority,
// and against an organisation's priority that does not go before the route's.
func TestUrgency(t *testing.T) {
	two := 2
	cases := []struct {
		name         string
		route        int
		organisation *tables.Organisation
		tokens, want int
	}{
		{"most urgent", 0, nil, 800, 1},
		{"most urgent, long", 0, nil, 9200, 2},
		{"next", 1, nil, 800, 3},
		{"organisation without a priority", 1, &tables.Organisation{}, 9200, 4},
		{"organisation with a priority", 0, &tables.Organisation{Priority: &two}, 9200, 6},
		{"beyond the last", 40, nil, 9200, 9},
		{"below the first", -1, nil, 10, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ex := &Exchange{Route: &tables.Route{Priority: c.route}, Organisation: c.organisation, Metadata: RequestMetadata{PromptTokens: c.tokens}}
			assert.Equal(t, urgency(ex), c.want)
		})
	}
}
