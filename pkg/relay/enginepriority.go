package relay

import "time"

const (
	// enginePriorityLevels is the number of priorities that engines
	// distinguish. The first is the most urgent; a request without a priority
	// is in the middle.
	enginePriorityLevels = 10
	// levelsPerPriority is the number of engine priorities for each priority of
	// the operators: within one, short prompts go before long ones.
	levelsPerPriority = 2
	// smallPromptTokens is the length in tokens up to which a prompt counts as
	// short. Engines process prompts in pieces of 1,024 tokens, so a short one
	// needs a single piece.
	smallPromptTokens = 1024
)

// enginePriority returns the priority of a request at the engine, from 1, the
// most urgent, to 9. The priority of the organisation takes precedence over
// that of the route. Without priorities, short prompts would miss their
// objective behind long ones, which take longer to process than the objective.
func enginePriority(ex *Exchange) int {
	priority := ex.Route.Priority
	if ex.Organisation != nil && ex.Organisation.Priority != nil {
		priority = *ex.Organisation.Priority
	}
	level := 1 + levelsPerPriority*max(0, priority)
	if ex.Metadata.PromptTokens > smallPromptTokens {
		level++
	}
	return min(level, enginePriorityLevels-1)
}

// enginePriority returns the priority of a request at the engine: that of its rank if the
// pool is under contention.
func (f *ForwardFilter) enginePriority(ex *Exchange) int {
	if !f.Admission.applies(ex.Pool, f.Targets.InPool(ex.Pool.Name)) {
		return enginePriority(ex)
	}
	return f.Admission.scale(ex).EnginePriority(f.Admission.rank(ex, time.Now()))
}
