package org.lovagethread.gateway.http;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Locale;
import java.util.Optional;

/** Classifies the responses of upstreams by what they prove. */
final class ResponseClassifier {
    private final HeaderCodec headerCodec;

    ResponseClassifier(HeaderCodec headerCodec) {
        this.headerCodec = headerCodec;
    }

    /** Returns whether the upstream states that it has not executed the request. */
    boolean statesNotRun(HttpResponse response) {
        return headerCodec.statesNotRun(response);
    }

    /** Returns whether callers take the status as the promise that the request has not been executed. */
    boolean promisesNotRun(HttpResponse response) {
        return headerCodec.promisesNotRun(response.status());
    }

    /** Returns whether the response proves that the upstream created it. */
    boolean hasProof(HttpResponse response) {
        return headerCodec.proofOfOrigin(response.headers()).isPresent();
    }

    /** Returns whether the response is a success that the upstream created. */
    boolean isSuccessWithProof(HttpResponse response) {
        return isSuccess(response) && hasProof(response);
    }

    /** Returns whether the response is a failure of the upstream, which must not be passed on as if it were final. */
    boolean isFailure(HttpResponse response) {
        return response.status().code() >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code() || promisesNotRun(response);
    }

    /** Returns whether the status of the response is a success. */
    static boolean isSuccess(HttpResponse response) {
        int code = response.status().code();
        return code >= HttpResponseStatus.OK.code() && code < HttpResponseStatus.MULTIPLE_CHOICES.code();
    }

    /** Returns the media type of the response in lower case. */
    static Optional<String> mediaType(HttpResponse response) {
        return Optional.ofNullable(HttpUtil.getMimeType(response))
                .map(type -> type.toString().strip().toLowerCase(Locale.ROOT));
    }
}
