/** The manifest of the cases: the services and routes of a small deployment. */
final class Manifest {

  private Manifest() {}

  static String text(int version) {
    return """
        {"version":%d,"routes":[
        {"name":"r-tag","host":"ficu95.example","path_prefix":"/tag/","route_kind":"streaming",
        "timeout_ms":6000,"target_latency_ms":1500,"priority":0,"service":"llm","max_attempts":2,
        "public":false,"sticky":true,"resumable":true,"target_gap_ms":180,"allowed_regions":[]},
        {"name":"r-letter","host":"ficu95.example","path_prefix":"/letter/",
        "route_kind":"streaming","timeout_ms":39000,"target_latency_ms":1800,"priority":1,
        "service":"llm","max_attempts":1,"public":false,"sticky":true,"resumable":false,
        "target_gap_ms":180,"allowed_regions":[]},
        {"name":"r-confirm","host":"ficu95.example","path_prefix":"/confirm/",
        "route_kind":"non_idempotent","timeout_ms":2000,"target_latency_ms":400,"priority":2,
        "service":"app","max_attempts":1,"public":false,"sticky":false,"allowed_regions":[]},
        {"name":"r-catalogue","host":"ficu95.example","path_prefix":"/catalogue/",
        "route_kind":"idempotent","timeout_ms":2000,"target_latency_ms":400,"priority":2,
        "service":"app","max_attempts":2,"public":false,"sticky":false,"allowed_regions":[]}],
        "services":[
        {"name":"llm","health_path":"/healthz","max_connections":232,"protocol":"h1","tls":false,
        "cold_s":1.0,"cold_per_s":38.0,"engine":{"slots":24,"kv_capacity":34192,
        "kv_token_bytes":192512,"link_mbps":28000.0,"moves":true,"backups":true,"stride":4,
        "most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_ttl_s":5.0,
        "model_list":[{"name":"m"}]}},
        {"name":"app","health_path":"/healthz","max_connections":96,"protocol":"h1","tls":false,
        "cold_s":0.0,"cold_per_s":0.0}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
        "idle_timeout_ms":15000},
        "tenants":[{"name":"huka270","api_keys":["%s"],"priority":1,"allowed_regions":[]}]}
        """
        .formatted(version, Caller.KEY);
  }
}
