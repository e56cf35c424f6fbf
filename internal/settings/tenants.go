package settings

import "bankshift/balancer"

// tenant is an element of the list "accounts": a customer with a guaranteed quota.
type tenant struct {
	Name          string  `json:"name"`
	Quota         float64 `json:"quota_per_s"` // requests per second
	QuotaFraction float64 `json:"fraction"`    // the quota as a part of all traffic
}

func applyTenants(tenants []tenant, s *balancer.Settings) {
	for _, t := range tenants {
		s.Tenants = append(s.Tenants, balancer.Tenant{Name: t.Name, Quota: t.Quota, QuotaFraction: t.QuotaFraction})
	}
}
