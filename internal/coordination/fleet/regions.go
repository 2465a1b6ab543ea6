package fleet

// RefreshRegions recomputes which regions have no listed server of a service outside evacuated sites, and
// reports whether there is any.
//
// Requests of such a region are served by the others only. Their entries cannot prefer servers of their
// own, so that OtherRegionMargin would refuse them wherever others are served.
func (f *Fleet) RefreshRegions(service string) bool {
	served := map[string]bool{}
	for _, s := range f.servers {
		if s.backend.Service == service && s.missingSince == 0 && !f.evacuated[s.backend.Site] {
			served[f.config.Regions[s.backend.Site]] = true
		}
	}
	unserved := map[string]bool{}
	for _, region := range f.config.Regions {
		if !served[region] {
			unserved[region] = true
		}
	}
	f.unservedRegions[service] = unserved
	return len(unserved) > 0
}

// ForgetRegions drops what RefreshRegions found for a service.
func (f *Fleet) ForgetRegions(service string) { delete(f.unservedRegions, service) }
