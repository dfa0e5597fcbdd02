package config

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"

	"lacewingwheel.example/lacewingwheel/pkg/inifile"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

const nameForm = "1 to 63 letters, digits, '.', '_' and '-'"

var (
	nameRule           = inifile.Rule{Required: true, Syntax: nameForm, Check: checkName}
	listenRule         = inifile.Rule{Syntax: "ip:port", Check: checkListen}
	requiredListenRule = inifile.Rule{Required: true, Syntax: "ip:port", Check: checkListen}
	contactRule        = inifile.Rule{Syntax: "ip:port", Check: checkContact}
	seedsRule          = inifile.Rule{Syntax: "ip:port, separated by commas", Check: checkContact}
	platformRule       = inifile.Rule{Required: true, Syntax: "http://ip:port", Check: CheckPlatformAddress}
	fileRule           = inifile.Rule{Syntax: "the path of a PEM file"}
)

func checkName(name string) *inifile.Problem {
	if namePattern.MatchString(name) {
		return nil
	}
	return &inifile.Problem{Description: fmt.Sprintf("%q is not a name", name), Remedy: "use " + nameForm + ", starting with a letter or digit"}
}

// checkListen accepts port 0, for which the kernel picks a port.
func checkListen(text string) *inifile.Problem {
	if _, err := netip.ParseAddrPort(text); err != nil {
		return &inifile.Problem{Description: fmt.Sprintf("%q is not ip:port", text), Remedy: "write an IP address and a port, for example 0.0.0.0:8443 or [::]:8443"}
	}
	return nil
}

// checkContact checks an address that others connect to.
func checkContact(text string) *inifile.Problem {
	address, err := netip.ParseAddrPort(text)
	switch {
	case err != nil:
		return &inifile.Problem{Description: fmt.Sprintf("%q is not ip:port", text), Remedy: "write an IP address and a port, for example 10.0.0.7:7443"}
	case address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().IsMulticast():
		return &inifile.Problem{Description: fmt.Sprintf("nobody can connect to %s", text), Remedy: "write the address and port that other instances reach"}
	}
	return nil
}

// CheckPlatformAddress checks the URL of the platform. Processes reach each
// other by IP address, so that name resolution cannot fail them.
func CheckPlatformAddress(text string) *inifile.Problem {
	const remedy = "write http://ip:port or https://ip:port, without a path"
	u, err := url.Parse(text)
	switch {
	case err != nil || (u.Scheme != "http" && u.Scheme != "https"):
		return &inifile.Problem{Description: fmt.Sprintf("%q is not an http or https URL", text), Remedy: remedy}
	case u.User != nil || u.Path != "" || u.RawQuery != "" || u.Fragment != "" || u.ForceQuery:
		return &inifile.Problem{Description: fmt.Sprintf("%q has more than a scheme, address and port", text), Remedy: remedy}
	case checkContact(u.Host) != nil:
		return &inifile.Problem{Description: fmt.Sprintf("%q is not ip:port", u.Host), Remedy: remedy}
	}
	return nil
}
