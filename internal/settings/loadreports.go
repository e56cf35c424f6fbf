package settings

import "bankshift/balancer"

var loadReportSources = map[string]balancer.LoadReportSource{
	"none":    balancer.NoLoadReports,
	"probe":   balancer.LoadReportsByHealthCheck,
	"answers": balancer.LoadReportsByResponse,
}

// loadReports is the section "report": how load reports reach a node, and the names of the values in them.
type loadReports struct {
	Source string   `json:"how"`
	Fields []string `json:"fields"`
}

func (l loadReports) apply(s *balancer.Settings) error {
	source, err := lookupOptional(loadReportSources, "report.how", l.Source)
	s.LoadReportSource = source
	s.LoadReportFields = l.Fields
	return err
}
