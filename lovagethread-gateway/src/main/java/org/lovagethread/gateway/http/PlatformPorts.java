package org.lovagethread.gateway.http;

import org.lovagethread.gateway.config.ConfigurationDecoder;
import org.lovagethread.gateway.duty.DutyApi;
import org.lovagethread.gateway.store.ObjectStore;

/**
 * The interfaces through which a gateway uses the platform.
 *
 * @param store the object store
 * @param duties the calls that only the lease holder makes
 * @param configurationDecoder decodes configurations and upstream entries
 * @param headerCodec translates HTTP headers of callers and upstreams
 * @param discoveryProtocol translates directory queries and readiness checks
 */
public record PlatformPorts(
        ObjectStore store,
        DutyApi duties,
        ConfigurationDecoder configurationDecoder,
        HeaderCodec headerCodec,
        DiscoveryProtocol discoveryProtocol) {}
