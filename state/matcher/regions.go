package matcher

import "slices"

// Regions maps failure domains to the names of their regions.
type Regions map[string]string

// Allows reports whether an endpoint in a failure domain may get a request with the allowed regions that
// AllowedRegions has returned. A failure domain whose region is not known is not allowed.
func (r Regions) Allows(allowed []string, domain string) bool {
	if allowed == nil {
		return true
	}
	region := r[domain]
	return region != "" && slices.Contains(allowed, region)
}

// AllowedRegions returns the regions whose endpoints may get a request of a route and a customer, which
// both may restrict. It returns nil if neither does, and an empty list that is not nil if no region
// is allowed by both.
func AllowedRegions(r *Route, c *Customer) []string {
	switch {
	case len(r.AllowedRegions) == 0 && len(c.AllowedRegions) == 0:
		return nil
	case len(r.AllowedRegions) == 0:
		return c.AllowedRegions
	case len(c.AllowedRegions) == 0:
		return r.AllowedRegions
	}
	both := []string{}
	for _, region := range r.AllowedRegions {
		if slices.Contains(c.AllowedRegions, region) {
			both = append(both, region)
		}
	}
	return both
}
