package tables

import (
	"fmt"
	"net/netip"
	"path"
	"regexp"
	"slices"
	"strings"

	"lacewingwheel.example/lacewingwheel/pkg/inifile"
)

var (
	namePattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	hostPattern  = regexp.MustCompile(`^([A-Za-z0-9]([A-Za-z0-9-]{0,61}[A-Za-z0-9])?\.)*[A-Za-z0-9]([A-Za-z0-9-]{0,61}[A-Za-z0-9])?$`)
	labelPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/@+-]{0,199}$`)
	pathPattern  = regexp.MustCompile(`^/[A-Za-z0-9._~!$&'()*+,;=:@/-]*$`)
)

var (
	hostRule  = inifile.Rule{Syntax: "a host name without scheme and port", Check: checkHost}
	pathRule  = inifile.Rule{Required: true, Syntax: "a path that starts with /", Check: checkPath}
	labelRule = inifile.Rule{Syntax: "a name of letters, digits and ._:/@+-", Check: checkLabel}
)

// CheckName checks the name of a route, pool, organisation or API key. It
// returns nil if the name is valid.
func CheckName(name string) *inifile.Problem {
	if namePattern.MatchString(name) {
		return nil
	}
	return &inifile.Problem{
		Description: fmt.Sprintf("%q is not a name", name),
		Remedy:      "use 1 to 63 letters, digits, '.', '_' and '-', starting with a letter or digit",
	}
}

func checkHost(host string) *inifile.Problem {
	if _, err := netip.ParseAddr(host); err == nil {
		return nil
	}
	if hostPattern.MatchString(host) && len(host) <= 253 {
		return nil
	}
	return &inifile.Problem{Description: fmt.Sprintf("%q is not a host name", host), Remedy: "write the name alone, without scheme, port and path"}
}

func checkPath(text string) *inifile.Problem {
	if !pathPattern.MatchString(text) {
		return &inifile.Problem{
			Description: fmt.Sprintf("%q is not a path", text),
			Remedy:      "start with / and write the decoded path, without query, fragment, '%' and spaces",
		}
	}
	cleaned := path.Clean(text)
	if strings.HasSuffix(text, "/") && cleaned != "/" {
		cleaned += "/"
	}
	if cleaned != text {
		return &inifile.Problem{Description: fmt.Sprintf("%q matches no request, because it is not in its shortest form", text), Remedy: "write " + cleaned}
	}
	return nil
}

func checkLabel(text string) *inifile.Problem {
	if labelPattern.MatchString(text) {
		return nil
	}
	return &inifile.Problem{
		Description: fmt.Sprintf("%q is not a valid name", text),
		Remedy:      "use up to 200 letters, digits and ._:/@+-, starting with a letter or digit",
	}
}

// selectorField returns a field for a list of label=value pairs, all of which a
// target must have.
func selectorField(key string, variable *map[string]string) inifile.Field {
	rule := inifile.Rule{Required: true, Syntax: "label=value pairs, separated by commas"}
	return inifile.Custom(key, rule,
		func(text string) *inifile.Problem {
			selector, problem := parseSelector(text)
			*variable = selector
			return problem
		},
		func() string { return formatSelector(*variable) },
		func() { *variable = nil },
	)
}

func parseSelector(text string) (map[string]string, *inifile.Problem) {
	pairs, problem := inifile.SplitList(text)
	if problem != nil {
		return nil, problem
	}
	selector := make(map[string]string, len(pairs))
	for _, pair := range pairs {
		label, value, _ := strings.Cut(pair, "=")
		label, value = strings.TrimSpace(label), strings.TrimSpace(value)
		if checkLabel(label) != nil || checkLabel(value) != nil {
			return nil, &inifile.Problem{Description: fmt.Sprintf("%q is not a label=value pair", pair), Remedy: "write for example app=engine"}
		}
		if _, ok := selector[label]; ok {
			return nil, &inifile.Problem{Description: fmt.Sprintf("label %q appears twice, and no target has two values of a label", label), Remedy: "keep one of them"}
		}
		selector[label] = value
	}
	return selector, nil
}

func formatSelector(selector map[string]string) string {
	pairs := make([]string, 0, len(selector))
	for label, value := range selector {
		pairs = append(pairs, label+"="+value)
	}
	slices.Sort(pairs)
	return strings.Join(pairs, ", ")
}
