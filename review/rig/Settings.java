/** Records of the operator, as PROTOCOL.md shows them. Stateless. */
final class Settings {

    static final String MODELS = "\"small\",\"medium\",\"large\"";

    private Settings() {
    }

    /** Returns a configuration with the limits of a small deployment and no tenants. */
    static String config(int version, String... routes) {
        return configOf(version, "", routes);
    }

    /** Returns a configuration; tenants is empty or a list in JSON. */
    static String configOf(int version, String tenants, String... routes) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes)
                + "],\"services\":[{\"name\":\"studio-app\",\"health_path\":\"/health\",\"max_connections\":110,"
                + "\"protocol\":\"h1\",\"tls\":false},{\"name\":\"copy-model\",\"health_path\":\"/health\","
                + "\"max_connections\":300,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":48,"
                + "\"kv_tokens\":676952,\"models\":[{\"name\":\"small\",\"cost\":0.015},"
                + "{\"name\":\"medium\",\"cost\":0.12},{\"name\":\"large\",\"cost\":0.23}]}}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000}" + (tenants.isEmpty() ? "" : ",\"tenants\":" + tenants) + "}";
    }

    /** Returns a route to a plain service. */
    static String plain(String name, String prefix, String kind, String service) {
        return plain(name, prefix, kind, service, 30_000);
    }

    /** Returns a route to a plain service. */
    static String plain(String name, String prefix, String kind, String service, int timeoutMillis) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + Rig.HOST + "\",\"path_prefix\":\"" + prefix
                + "\",\"kind\":\"" + kind + "\",\"timeout_ms\":" + timeoutMillis + ",\"target_latency_ms\":193,\"priority\":2,"
                + "\"service\":\"" + service + "\",\"max_attempts\":2,\"public\":false}";
    }

    /** Returns a streaming route whose requests the system gives to one of three models. */
    static String stream(String name, String prefix, int timeoutMillis, boolean resumable) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + Rig.HOST + "\",\"path_prefix\":\"" + prefix
                + "\",\"kind\":\"streaming\",\"timeout_ms\":" + timeoutMillis
                + ",\"target_latency_ms\":3000,\"priority\":1,\"sizes\":[" + MODELS
                + "],\"service\":\"copy-model\",\"max_attempts\":3,\"public\":false,\"sticky\":true,\"resumable\":"
                + resumable + ",\"gap_aim_ms\":1000}";
    }

}
