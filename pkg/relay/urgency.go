package relay

const (
	// urgencies is the number of urgencies that targets know. The first is the
	// most urgent; a request that states none is in the middle.
	urgencies = 10
	// perPriority is the number of urgencies for each priority of the operators:
	// within one, small requests go before large ones.
	perPriority = 2
	// smallRequest is the size up to which a request is small. An engine reads it
	// within one piece of a prompt. Source: the engines' sheet, pieces of 1,024.
	smallRequest = 1024
)

// urgency returns how urgent a request is for the target that runs it, from 1 on.
// The operators' priority of the organisation goes before that of the route.
// Load: targets that read long prompts while short ones wait, whose objective is
// shorter than the time that a long prompt takes.
func urgency(ex *Exchange) int {
	priority := ex.Route.Priority
	if ex.Organisation != nil && ex.Organisation.Priority != nil {
		priority = *ex.Organisation.Priority
	}
	u := 1 + perPriority*max(0, priority)
	if ex.Metadata.PromptTokens > smallRequest {
		u++
	}
	return min(u, urgencies-1)
}
