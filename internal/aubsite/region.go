package aubsite

import "slices"

// AllowedRegions returns the regions in which requests of the route and the workspace may run; none
// means any. It returns false if both name regions and have none in common.
func AllowedRegions(route Route, workspace Workspace) (regions []string, ok bool) {
	switch {
	case len(route.Regions) == 0:
		return workspace.Regions, true
	case len(workspace.Regions) == 0:
		return route.Regions, true
	}
	for _, region := range route.Regions {
		if slices.Contains(workspace.Regions, region) {
			regions = append(regions, region)
		}
	}
	return regions, len(regions) > 0
}

// InRegions reports whether a request that is limited to the regions, none for any, may run in the
// region. The region of a zone that the settings don't name is empty and never allowed.
func InRegions(regions []string, region string) bool {
	return len(regions) == 0 || region != "" && slices.Contains(regions, region)
}
